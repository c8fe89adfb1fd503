package virtual

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/papayapath/papayapath/internal/lab/history"
	"github.com/papayapath/papayapath/internal/lab/load"
	"github.com/papayapath/papayapath/internal/lab/wire"
	"github.com/papayapath/papayapath/pkg/dispatcher"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// Client delays between a failure and the next attempt.
const (
	retryDelay          = 100 * time.Millisecond
	immediateRetryDelay = 10 * time.Millisecond
)

// client generates the requests of one customer.
type client struct {
	simulation *Simulation
	customer   load.Customer
	random     *rand.Rand
	sequence   int
}

// request is one customer request across all its attempts.
type request struct {
	client   *client
	class    load.Class
	root     string
	key      string
	crash    bool
	arrived  time.Time
	finished time.Time
	attempts int
}

func newClient(sim *Simulation, c load.Customer) *client {
	return &client{simulation: sim, customer: c, random: rand.New(rand.NewPCG(sim.seed, xxhash.Sum64String(c.Name)))}
}

// scheduleArrival schedules the next request of a Poisson process.
func (c *client) scheduleArrival() {
	sim := c.simulation
	gap := c.random.ExpFloat64() / (c.customer.Rate * sim.loadFactor)
	sim.AfterFunc(time.Duration(gap*float64(time.Second)), func() {
		if !sim.generating {
			return
		}
		c.newRequest(c.customer.PickClass(c.random.Float64()), false).send()
		c.scheduleArrival()
	})
}

func (c *client) newRequest(class load.Class, crash bool) *request {
	c.sequence++
	r := &request{client: c, class: class, arrived: c.simulation.Now(), crash: crash}
	r.root = fmt.Sprintf("%s-%d", c.customer.Name, c.sequence)
	if class.NonRepeatable {
		r.key = message.KeyAt(c.simulation.Now(), []byte(r.root))
	}
	c.simulation.history.RecordImportance(r.root, class.Importance)
	return r
}

// send makes the next attempt of the request.
func (r *request) send() {
	sim := r.client.simulation
	r.attempts++
	attemptNumber := r.attempts
	h := sim.nextEntry()
	if h == nil {
		r.retryOrGiveUp()
		return
	}
	answered := false
	sim.AfterFunc(r.class.Deadline, func() {
		if !answered && attemptNumber == r.attempts {
			answered = true
			r.retryOrGiveUp()
		}
	})
	sim.AfterFunc(sim.messageDelay(), func() {
		if !h.up {
			return
		}
		h.call(r.dispatch(), message.CallID{}, func(a *message.Answer) {
			sim.AfterFunc(sim.messageDelay(), func() {
				r.recordAnswer(attemptNumber, a)
				if !answered {
					answered = true
					r.handleAnswer(a)
				}
			})
		})
	})
}

func (r *request) dispatch() *dispatcher.Request {
	identity := wire.Identity{Root: r.root, Attempt: r.attempts, WorkKey: r.key, Crash: r.crash}
	body := ""
	if r.class.Method != http.MethodGet {
		body = r.root
	}
	q := newRequest(dispatcher.Caller, r.class.Service, r.class.Method, r.class.Path, identity, body)
	q.Customer, q.Root, q.Key, q.Timeout = r.client.customer.Name, r.root, r.key, r.class.Deadline
	if issued, ok := message.IssueTime(r.key); ok {
		q.Issued = issued
	}
	return q
}

// recordAnswer records the outcome that the caller received for one attempt.
func (r *request) recordAnswer(attemptNumber int, a *message.Answer) {
	sim := r.client.simulation
	sim.history.Report(history.Report{
		Root: r.root, Attempt: attemptNumber, Service: r.class.Service, NotRun: a.Outcome == outcome.NotRun,
	})
	sim.outcomeCounts[a.Outcome.String()+" "+a.Reason.String()]++
	if a.Reason == outcome.Overload {
		sim.history.RecordRefusal(history.Refusal{Root: r.root, Service: r.class.Service, At: sim.Now()})
	}
}

// handleAnswer finishes the request or retries it.
func (r *request) handleAnswer(a *message.Answer) {
	switch {
	case a.Outcome == outcome.Complete && a.Status == http.StatusOK:
		r.finished = r.client.simulation.Now()
		r.finish()
	case a.Outcome == outcome.Complete && r.key != "":
		r.finish() // retries of an idempotency key return the same answer
	default:
		r.retryOrGiveUp()
	}
}

// retryOrGiveUp schedules the next attempt, or finishes the request if the
// customer's retries are used up.
func (r *request) retryOrGiveUp() {
	if r.attempts > r.client.customer.MaxRetries {
		r.finish()
		return
	}
	delay := retryDelay
	if r.client.simulation.immediateRetries {
		delay = immediateRetryDelay
	}
	r.client.simulation.AfterFunc(delay, r.send)
}

func (r *request) finish() {
	r.client.simulation.history.RecordRequest(history.Request{
		Root: r.root, Service: r.class.Service, Importance: r.class.Importance,
		Arrived: r.arrived, Completed: r.finished, Deadline: r.class.Deadline, Attempts: r.attempts,
	})
}
