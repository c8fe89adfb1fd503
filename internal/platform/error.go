package platform

import "fmt"

// RefusedError reports a request that the log answered with a refusal. A
// refused record was not appended, and sending it again unchanged is useless.
type RefusedError struct {
	stream string
	status int
	reason string
}

// Error shows the status and the answer of the log.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("log refuses stream %s: status %d: %s", e.stream, e.status, e.reason)
}

// Status returns the HTTP status of the refusal.
func (e *RefusedError) Status() int { return e.status }

// InDoubtError reports an append that may or may not have taken effect. The
// record must be looked up by its id before it is sent again.
type InDoubtError struct {
	stream string
	id     string
	cause  error
}

// Error names the record and the cause of the doubt.
func (e *InDoubtError) Error() string {
	return fmt.Sprintf("append of record %s to stream %s is in doubt: %v", e.id, e.stream, e.cause)
}

// Unwrap returns the cause of the doubt.
func (e *InDoubtError) Unwrap() error { return e.cause }

// ID returns the id by which the record can be looked up.
func (e *InDoubtError) ID() string { return e.id }

// UnavailableError reports that the log could not be reached, or that a read
// failed. An append that returns it was not sent.
type UnavailableError struct {
	stream string
	cause  error
}

// Error names the stream and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("log unavailable for stream %s: %v", e.stream, e.cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.cause }

// AnswerError reports an answer of the log that breaks its protocol.
type AnswerError struct {
	status int
	reason string
}

// Error shows the status and the broken rule.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("answer of the log with status %d: %s", e.status, e.reason)
}

// AddressError reports a base URL that is not an absolute HTTP URL.
type AddressError struct{ address string }

// Error shows the address.
func (e *AddressError) Error() string {
	return fmt.Sprintf("log address %q is not an absolute http or https URL", e.address)
}
