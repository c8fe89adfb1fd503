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
