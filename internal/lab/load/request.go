package load

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/papayapath/papayapath/internal/lab/answer"
	"github.com/papayapath/papayapath/internal/lab/caller"
	"github.com/papayapath/papayapath/internal/lab/history"
	"github.com/papayapath/papayapath/internal/lab/wire"
)

// request is a customer request with all its attempts.
type request struct {
	customer Customer
	class    Class
	root     string
	path     string
	key      string // idempotency key; empty if the request is repeatable
	arrived  time.Time
	attempts int
}

// sendUntilDone sends a request until it succeeds, fails permanently or has no
// retries left, and records the result.
func (g *Generator) sendUntilDone(ctx context.Context, r *request) {
	g.history.RecordImportance(r.root, r.class.Importance)
	completed := time.Time{}
	for r.attempts <= r.customer.MaxRetries {
		r.attempts++
		result := g.send(ctx, r)
		if result == succeeded {
			completed = time.Now()
		}
		if result != retryable || !g.waitBeforeRetry(ctx) {
			break
		}
	}
	g.history.RecordRequest(history.Request{
		Root: r.root, Service: r.class.Service, Importance: r.class.Importance,
		Arrived: r.arrived, Completed: completed, Deadline: r.class.Deadline, Attempts: r.attempts,
	})
}

// result classifies one attempt.
type result int

const (
	retryable result = iota // may be retried
	succeeded               // the complete response arrived in time
	permanent               // a retry can't succeed
)

// responseGrace is how long a client waits for a response beyond the time
// limit of an attempt, to receive the node's outcome of a failed call.
const responseGrace = 100 * time.Millisecond

// send makes one attempt and verifies the response. A complete response after
// the time limit counts as failed.
func (g *Generator) send(ctx context.Context, r *request) result {
	due := time.Now().Add(r.class.Deadline)
	ctx, cancel := context.WithDeadline(ctx, due.Add(responseGrace))
	defer cancel()
	response, err := g.caller.Do(ctx, caller.Request{
		Method: r.class.Method, URL: "http://" + g.nextEntry() + "/" + r.class.Service + r.path,
		Header: r.header(), Body: r.body(),
	})
	if err != nil {
		return retryable
	}
	g.recordResponse(r, response)
	if response.Status != http.StatusOK {
		return r.classifyError(response)
	}
	verdict := answer.Verify(r.class.Service, r.root, response.Header.Get(wire.Checksum), response.Body)
	g.history.RecordVerdict(verdict)
	if verdict != answer.Complete || time.Now().After(due) {
		return retryable
	}
	return succeeded
}

// header returns the header fields of the current attempt.
func (r *request) header() http.Header {
	h := make(http.Header)
	h.Set(wire.Customer, r.customer.Name)
	h.Set(wire.Request, r.root)
	h.Set(wire.Timeout, strconv.FormatInt(r.class.Deadline.Milliseconds(), 10))
	if r.key != "" {
		h.Set(wire.Key, r.key)
	}
	wire.Identity{Root: r.root, Attempt: r.attempts, WorkKey: r.key, Crash: r.class.Crash}.Write(h.Set)
	return h
}

// body returns the same bytes for every attempt, because requests with the
// same idempotency key must have the same content.
func (r *request) body() []byte {
	if r.class.Method == http.MethodGet {
		return nil
	}
	return []byte(`{"request":"` + r.root + `"}`)
}

// recordResponse records the outcome that the caller received.
func (g *Generator) recordResponse(r *request, response caller.Response) {
	g.history.Report(history.Report{
		Root: r.root, Attempt: r.attempts, Service: r.class.Service,
		NotRun: response.Header.Get(wire.Outcome) == wire.NotRun,
	})
	if response.Header.Get(wire.Shed) != "" || response.Header.Get(wire.Reason) == wire.Overload {
		g.history.RecordRefusal(history.Refusal{Root: r.root, Service: r.class.Service, At: time.Now()})
	}
}

// classifyError classifies an attempt with an error response. A completed
// response to a non-repeatable request is final for its key, and a client
// error (4xx other than 429) does not go away on a retry.
func (r *request) classifyError(response caller.Response) result {
	final := r.key != "" && response.Header.Get(wire.Outcome) == wire.Complete
	clientError := response.Status < http.StatusInternalServerError && response.Status != http.StatusTooManyRequests
	if final || clientError {
		return permanent
	}
	return retryable
}
