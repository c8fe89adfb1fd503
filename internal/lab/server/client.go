package server

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/papayapath/papayapath/internal/lab/answer"
	"github.com/papayapath/papayapath/internal/lab/caller"
	"github.com/papayapath/papayapath/internal/lab/history"
	"github.com/papayapath/papayapath/internal/lab/wire"
)

// callStep makes the call of one step and verifies the response.
func (s *Server) callStep(ctx context.Context, c call, index int) *StepError {
	step := c.path.Steps[index]
	r, err := s.caller.Do(ctx, s.request(c, step, index))
	if err != nil {
		return &StepError{service: step.Service, cause: err}
	}
	if r.Status != http.StatusOK {
		s.recordRefusal(c, step, r)
		return &StepError{service: step.Service, status: r.Status}
	}
	verdict := answer.Verify(step.Service, c.Root, r.Header.Get(wire.Checksum), r.Body)
	s.history.RecordVerdict(verdict)
	if verdict != answer.Complete {
		return &StepError{service: step.Service, status: r.Status}
	}
	return nil
}

// request builds the HTTP request of a step.
func (s *Server) request(c call, step Step, index int) caller.Request {
	identity := c.Identity
	identity.WorkKey = ""
	if step.NonRepeatable {
		identity.WorkKey = fmt.Sprintf("%s/%s/%d", c.Root, c.WorkKey, index)
	}
	header := make(http.Header)
	identity.Write(header.Set)
	if c.id != "" && !s.omitCallHeader {
		header.Set(wire.Call, c.id)
	}
	return caller.Request{
		Method: step.Method, URL: "http://" + s.node + "/" + step.Service + step.Path + c.suffix,
		Header: header, Body: c.body,
	}
}

// recordRefusal records a response that reports overload of the called
// service.
func (s *Server) recordRefusal(c call, step Step, r caller.Response) {
	if r.Header.Get(wire.Shed) == "" && r.Header.Get(wire.Reason) != wire.Overload {
		return
	}
	s.history.RecordRefusal(history.Refusal{Root: c.Root, Service: step.Service, At: time.Now()})
}

// StepError reports a call to another service that got no valid response.
type StepError struct {
	service string
	status  int // HTTP status; 0 if there was no response
	cause   error
}

// Error returns the called service and the cause or HTTP status.
func (e *StepError) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("call of %s: %v", e.service, e.cause)
	}
	return fmt.Sprintf("call of %s: status %d", e.service, e.status)
}

// Unwrap returns the error of the HTTP client, or nil if a response arrived.
func (e *StepError) Unwrap() error { return e.cause }
