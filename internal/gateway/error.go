package gateway

import (
	"fmt"

	"github.com/papayapath/papayapath/pkg/outcome"
)

// RequestError reports a request that breaks a rule of the protocol. It was
// not run.
type RequestError struct {
	field  string
	reason string
	code   outcome.Reason
}

// Error names the faulty part of the request and the rule.
func (e *RequestError) Error() string { return fmt.Sprintf("request: %s %s", e.field, e.reason) }

// Reason returns the reason that the caller is told.
func (e *RequestError) Reason() outcome.Reason { return e.code }
