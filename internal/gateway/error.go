package gateway

import (
	"fmt"
)

// RequestError reports a request that breaks a rule of the protocol. It was
// not run.
type RequestError struct {
	field  string
	reason string
}

// Error names the faulty part of the request and the rule.
func (e *RequestError) Error() string { return fmt.Sprintf("request: %s %s", e.field, e.reason) }

// ListenError reports an address on which the gateway can't listen.
type ListenError struct {
	address string
	cause   error
}

// Error names the address and the cause.
func (e *ListenError) Error() string {
	return fmt.Sprintf("gateway: listen on %s: %v", e.address, e.cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.cause }
