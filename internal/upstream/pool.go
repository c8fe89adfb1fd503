package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/pkg/history"
	"github.com/papayapath/papayapath/pkg/memory"
	"github.com/papayapath/papayapath/pkg/notice"
	"github.com/papayapath/papayapath/pkg/payload"
)

const (
	// dialTimeout bounds the establishment of a connection to the server, which
	// runs on the same instance and accepts within about a millisecond.
	dialTimeout = 500 * time.Millisecond
	// defaultMaxIdle is the idle time after which a connection is not reused,
	// unless the server states a shorter time-out. Servers close idle
	// connections after some seconds, and a request that is sent while the
	// server closes the connection may be lost.
	defaultMaxIdle = 4 * time.Second
	// keepAliveFraction is the fraction of the server's keep-alive time-out
	// during which an idle connection is reused.
	keepAliveFraction = 0.5
	// responseGrace extends the time-out of a request, so that a response that
	// the server sends at its deadline still arrives.
	responseGrace = 20 * time.Millisecond
	// sweepInterval is the least interval between two checks for overdue exchanges.
	// A shared timer saves a timer and its wake-up for each exchange.
	sweepInterval = 100 * time.Millisecond
	// maxInlineWrite is the size up to which a request is written by the
	// goroutine that starts it. Writing a larger one could block.
	maxInlineWrite = 16 << 10
	// knownRequests is the number of latest requests whose IDs are remembered. An
	// ID comes again within the deadline of the request that a client has sent.
	knownRequests = 8192
)

// HeaderCodec interprets the header fields of responses.
type HeaderCodec interface {
	// Matches reports whether a response belongs to the request with an id.
	Matches(h *fasthttp.ResponseHeader, id string) bool
	// NotRun reports whether the server states that it did not run the request.
	NotRun(h *fasthttp.ResponseHeader) bool
	// InstanceID returns the instance that the response names, if any.
	InstanceID(h *fasthttp.ResponseHeader) string
	// IsSigned reports whether a response has the server's signature.
	IsSigned(h *fasthttp.ResponseHeader) bool
	// Notice returns what the server says of itself.
	Notice(h *fasthttp.ResponseHeader) notice.Notice
	// AppendResponseHeader appends the header fields that the caller gets.
	AppendResponseHeader(dst []byte, h *fasthttp.ResponseHeader) []byte
}

// Request is a request to the server.
type Request struct {
	ID       string
	Raw      []byte        // serialized request, up to its body
	Body     *payload.Body // what follows Raw
	Timeout  time.Duration // for the response
	HeadOnly bool          // the response has no body
	Instance string        // that has to run it; empty for any
}

// size returns the size of the request in bytes.
func (r *Request) size() int { return len(r.Raw) + r.Body.Len() }

// write writes the request to w, without copying a body.
func (r *Request) write(w io.Writer) error {
	if r.Body.Len() == 0 {
		_, err := w.Write(r.Raw)
		return err
	}
	buffers := append(net.Buffers{r.Raw}, r.Body.Segments()...)
	_, err := buffers.WriteTo(w)
	return err
}

// Answer is the result of a request.
type Answer struct {
	Status int
	Head   []byte // header fields for the caller
	Body   *payload.Body
	NotRun bool  // the server proves, or it is certain, that the request was not run
	Sent   bool  // the server may have received a part of the request
	Err    error // the response is missing or invalid
	Notice notice.Notice
	Opened time.Time // of a response, when its connection was opened
}

// errDial means that nothing was sent.
var errDial = errors.New("cannot connect to the backend server")

// ResponseError reports a response that is invalid or belongs to another
// request.
type ResponseError struct{ reason string }

// Error implements the error interface.
func (e *ResponseError) Error() string { return fmt.Sprintf("upstream: response %s", e.reason) }

// Pool is a pool of connections to one server. It is safe for concurrent use.
type Pool struct {
	address string
	codec   HeaderCodec
	maxBody int
	budget  *memory.Budget // for the bodies of responses; nil if they are unlimited

	mu         sync.Mutex
	idle       []*conn          // ordered by last use, the most recent one last
	known      *history.History // IDs of requests
	all        map[*conn]struct{}
	sweepAt    time.Time // when the next sweep is due; zero if none is scheduled
	sweepTimer *time.Timer
	dialed     int
	reused     int
}

// Option sets a property of a Pool.
type Option func(*Pool)

// WithBudget bounds the memory of the bodies of all responses together.
func WithBudget(b *memory.Budget) Option { return func(p *Pool) { p.budget = b } }

// New returns an empty pool for the server at address. A response whose body is
// larger than maxBody bytes is an error.
func New(address string, h HeaderCodec, maxBody int, options ...Option) *Pool {
	p := &Pool{address: address, codec: h, maxBody: maxBody, all: make(map[*conn]struct{}), known: history.New(knownRequests)}
	for _, o := range options {
		o(p)
	}
	return p
}

// Exchange is a request in progress.
type Exchange struct {
	request *Request
	done    func(*Answer)

	mu       sync.Mutex
	conn     *conn
	canceled bool
}

// Cancel closes the connection, so that the server stops running the request.
func (e *Exchange) Cancel() {
	e.mu.Lock()
	e.canceled = true
	c := e.conn
	e.mu.Unlock()
	if c != nil {
		c.close()
	}
}

// attach binds the exchange to a connection and returns true, unless the
// exchange has been canceled.
func (e *Exchange) attach(c *conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.canceled {
		e.conn = c
	}
	return !e.canceled
}

// detach unbinds the connection, so that a late Cancel does not close it.
func (e *Exchange) detach() {
	e.mu.Lock()
	e.conn = nil
	e.mu.Unlock()
}

// Start sends a request. done is called once, by another goroutine.
func (p *Pool) Start(now time.Time, r *Request, done func(*Answer)) *Exchange {
	e := &Exchange{request: r, done: done}
	c := p.takeIdle(now, r.ID)
	if c != nil && r.size() <= maxInlineWrite {
		c.send(now, e)
		return e
	}
	go p.startOn(c, e)
	return e
}

// startOn sends a request on c, or on a new connection if c is nil.
func (p *Pool) startOn(c *conn, e *Exchange) {
	if c == nil {
		opened, err := net.DialTimeout("tcp4", p.address, dialTimeout)
		if err != nil {
			e.done(&Answer{NotRun: true, Err: fmt.Errorf("%w: %w", errDial, err)})
			return
		}
		c = p.register(opened)
	}
	c.send(time.Now(), e)
}

// HasOlder reports whether a connection that was opened before t is open. The server ends
// all of them when it crashes.
func (p *Pool) HasOlder(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.all {
		if c.openedAt.Before(t) {
			return true
		}
	}
	return false
}

// Probe opens a connection for later requests. The error tells whether the server's port
// is closed.
func (p *Pool) Probe(now time.Time) error {
	opened, err := net.DialTimeout("tcp4", p.address, dialTimeout)
	if err != nil {
		return fmt.Errorf("%w: %w", errDial, err)
	}
	p.register(opened).release(now)
	return nil
}

// IsUnreachable reports whether a request failed because no connection to the
// server could be established.
func IsUnreachable(a *Answer) bool { return errors.Is(a.Err, errDial) }

// register adds a new connection to the pool and starts its goroutine.
func (p *Pool) register(opened net.Conn) *conn {
	c := newConn(p, opened)
	p.mu.Lock()
	p.all[c] = struct{}{}
	p.dialed++
	p.mu.Unlock()
	go c.readLoop()
	return c
}

// takeIdle removes and returns the most recently used idle connection, or nil. A
// request whose ID the server has had before gets none: on any of them a late second
// copy of the earlier response, such as a refusal, would match the new request. One
// connection is closed instead, so that a client that repeats an ID does not add to
// the connections of the server.
func (p *Pool) takeIdle(now time.Time, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known.Add(id)
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = slices.Delete(p.idle, last, last+1)
		if known || now.Sub(c.lastUsed) > c.maxIdle {
			c.discard()
			if known {
				return nil
			}
			continue
		}
		p.reused++
		return c
	}
	return nil
}

// scheduleSweep schedules a sweep for an exchange with the given deadline, unless one is
// due before it or shortly after.
func (p *Pool) scheduleSweep(now, deadline time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := deadline
	if least := now.Add(sweepInterval); at.Before(least) {
		at = least
	}
	if !p.sweepAt.IsZero() && p.sweepAt.Before(at.Add(sweepInterval)) {
		return
	}
	p.sweepAt = at
	if p.sweepTimer == nil {
		p.sweepTimer = time.AfterFunc(at.Sub(now), p.sweep)
		return
	}
	p.sweepTimer.Reset(at.Sub(now))
}

// sweep closes the connections with overdue exchanges, and schedules the next sweep for
// the first of the other ones.
func (p *Pool) sweep() {
	now := time.Now()
	p.mu.Lock()
	p.sweepAt = time.Time{}
	conns := make([]*conn, 0, len(p.all))
	for c := range p.all {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	var first time.Time
	for _, c := range conns {
		if deadline := c.closeOverdue(now); !deadline.IsZero() && (first.IsZero() || deadline.Before(first)) {
			first = deadline
		}
	}
	if !first.IsZero() {
		p.scheduleSweep(now, first)
	}
}

// put adds a connection to the idle ones.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// remove removes a closed connection from the pool.
func (p *Pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.all, c)
	for i, other := range p.idle {
		if other == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// CloseExpired closes the connections that have been idle for too long to be
// reused.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.lastUsed) > c.maxIdle {
			c.discard()
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// Stats returns the number of open connections and the total numbers of
// connections opened and of requests sent on an idle connection.
func (p *Pool) Stats() (open, dialed, reused int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.all), p.dialed, p.reused
}
