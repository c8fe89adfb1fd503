package exchange

import (
	"fmt"

	"github.com/papayapath/papayapath/pkg/message"
)

// Attempt is the sink of one attempt of a call.
type Attempt struct {
	exchange *Exchange
	number   int
	answer   func(*message.Answer)
}

// NewAttempt returns the sink of attempt n of e. It calls answer with the
// checked end of the attempt.
func NewAttempt(e *Exchange, n int, answer func(*message.Answer)) *Attempt {
	return &Attempt{exchange: e, number: n, answer: answer}
}

// Head keeps the head of the answer.
func (a *Attempt) Head(h *message.Head) error { return a.exchange.Start(a.number, h) }

// Data adds a piece of the body.
func (a *Attempt) Data(p []byte) error { return a.exchange.Data(a.number, p) }

// Answer checks the end of the answer and passes it on.
func (a *Attempt) Answer(m *message.Answer) error {
	a.exchange.Check(a.number, m)
	a.answer(m)
	return nil
}

// StaleError reports a part of an answer that belongs to an attempt which is
// no longer under way.
type StaleError struct{ attempt int }

// Error names the attempt.
func (e *StaleError) Error() string {
	return fmt.Sprintf("attempt %d is no longer under way", e.attempt)
}
