package reply

import "github.com/papayapath/papayapath/pkg/message"

// Sink receives the answer of one attempt: a head and pieces of the body if
// the backend server answered, then exactly one Answer. An error means that
// the receiver is gone and nothing more is wanted.
//
// Data must not keep p after it returns.
type Sink interface {
	Head(h *message.Head) error
	Data(p []byte) error
	Answer(a *message.Answer) error
}
