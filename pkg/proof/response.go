package proof

import (
	"net/http"

	"github.com/papayapath/papayapath/pkg/outcome"
)

// Response is what a backend server says of a request by its response.
type Response struct {
	status           int
	isRefusal        bool
	expected, sender string // instances; empty if unknown
}

// New returns a response with a status.
func New(status int) Response { return Response{status: status} }

// WithRefusal returns the response with the statement that the request was not run.
func (r Response) WithRefusal() Response {
	r.isRefusal = true
	return r
}

// WithInstances returns the response with the instance that the request had to run at and
// the one that the response names. Either may be empty.
func (r Response) WithInstances(expected, sender string) Response {
	r.expected, r.sender = expected, sender
	return r
}

// Outcome returns what the response proves. A status alone proves nothing: a server may
// fail with any of them after it has run the request. NotRun needs the statement of the
// server, or its name in place of that of the expected instance. The statement together
// with a success contradicts itself and leaves the outcome unknown.
func (r Response) Outcome() outcome.Outcome {
	isOther := r.expected != "" && r.sender != "" && r.sender != r.expected
	switch {
	case r.isRefusal && r.status < http.StatusBadRequest:
		return outcome.Unknown
	case r.isRefusal, r.status == http.StatusMisdirectedRequest && isOther:
		return outcome.NotRun
	}
	return outcome.Complete
}

// IsFailure reports whether the server has run the request and failed.
func (r Response) IsFailure() bool {
	return r.Outcome() == outcome.Complete && (r.status >= http.StatusInternalServerError || r.promisesNotRun())
}

// MayReach reports whether a caller may get the response unchanged. Callers take some
// statuses for the promise that the request has not run and never will, so that they may
// send it again. For a request that must not run twice, such a response has to be replaced.
func (r Response) MayReach(isRepeatable bool) bool {
	return r.Outcome() == outcome.Complete && (isRepeatable || !r.promisesNotRun())
}

// promisesNotRun reports whether callers take the status for the promise that the request
// has not run.
func (r Response) promisesNotRun() bool {
	switch r.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
