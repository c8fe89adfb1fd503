package exchange

import (
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// Result is the answer of a call as its caller receives it.
type Result struct {
	Head   *message.Head
	Answer *message.Answer // nil if Stream is set
	Body   []byte          // whole body, if Stream is nil
	// Stream gives the body of an answer that is too long to be held. It
	// returns an error other than io.EOF if the answer breaks off.
	Stream io.Reader
}

// Exchange collects the answer of one call over all its attempts. An answer
// longer than message.MaxBufferedBytes is passed on before its end is known; from then
// on no other attempt can take its place.
//
// Lock order: mu is never held while the caller reads.
type Exchange struct {
	body   []byte
	result chan Result

	mu        sync.Mutex
	attempt   int
	head      *message.Head
	held      []byte
	digest    *xxhash.Digest
	length    int64
	pipe      *io.PipeWriter
	delivered bool
}

// New returns the exchange of a call with the given request body.
func New(body []byte) *Exchange {
	return &Exchange{body: body, result: make(chan Result, 1), digest: xxhash.New()}
}

// Body returns the body of the request.
func (e *Exchange) Body() []byte { return e.body }

// Result returns the channel on which the answer comes, once.
func (e *Exchange) Result() <-chan Result { return e.result }

// Begin starts attempt n and forgets what came of earlier ones. It returns
// false if an earlier attempt's answer is already being passed on.
func (e *Exchange) Begin(n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pipe != nil || e.delivered {
		return false
	}
	e.attempt = n
	e.head, e.held, e.length = nil, nil, 0
	e.digest.Reset()
	return true
}

// Committed reports whether an answer is being passed on before its end.
func (e *Exchange) Committed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pipe != nil
}

// Start keeps the head of the answer of attempt n. It returns a *StaleError
// if another attempt is under way.
func (e *Exchange) Start(n int, h *message.Head) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n != e.attempt || e.delivered {
		return &StaleError{attempt: n}
	}
	e.head = h
	return nil
}

// Data adds a piece of the body of attempt n. It blocks while the caller
// reads a long answer more slowly than it comes. It returns a *StaleError if
// another attempt is under way, or the error of a caller that is gone.
func (e *Exchange) Data(n int, p []byte) error {
	e.mu.Lock()
	if n != e.attempt || e.head == nil {
		e.mu.Unlock()
		return &StaleError{attempt: n}
	}
	_, _ = e.digest.Write(p)
	e.length += int64(len(p))
	pipe := e.pipe
	if pipe == nil {
		e.held = append(e.held, p...)
		if len(e.held) <= message.MaxBufferedBytes {
			e.mu.Unlock()
			return nil
		}
		pipe, p = e.commit()
	}
	e.mu.Unlock()
	_, err := pipe.Write(p)
	return err
}

// commit starts to pass the answer on and returns what is held of it.
func (e *Exchange) commit() (*io.PipeWriter, []byte) {
	reader, writer := io.Pipe()
	e.pipe = writer
	e.delivered = true
	held := e.held
	e.held = nil
	e.result <- Result{Head: e.head, Stream: reader}
	return writer, held
}

// Check compares the end of attempt n with what came before it. An answer
// that is not whole becomes unknown.
func (e *Exchange) Check(n int, a *message.Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.Outcome != outcome.Complete {
		return
	}
	whole := n == e.attempt && e.head != nil && e.length == a.Length && e.digest.Sum64() == a.Digest
	if !whole {
		a.Outcome, a.Reason = outcome.Unknown, outcome.Broken
	}
}

// Finish passes the answer on, or ends the one that is being passed on. Only
// the first call has an effect.
func (e *Exchange) Finish(a *message.Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pipe != nil {
		if a.Outcome == outcome.Complete {
			_ = e.pipe.Close()
			return
		}
		_ = e.pipe.CloseWithError(io.ErrUnexpectedEOF)
		return
	}
	if e.delivered {
		return
	}
	e.delivered = true
	if a.Outcome != outcome.Complete {
		e.held = nil
	}
	e.result <- Result{Head: e.head, Answer: a, Body: e.held}
}
