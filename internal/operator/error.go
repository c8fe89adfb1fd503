package operator

import "fmt"

// ListenError reports an address on which the console can't listen.
type ListenError struct {
	address string
	cause   error
}

// Error names the address and the cause.
func (e *ListenError) Error() string {
	return fmt.Sprintf("operators: listen on %s: %v", e.address, e.cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.cause }
