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

// Pauses of clients between a failure and the next send.
const (
	calmPause = 100 * time.Millisecond
	hardPause = 10 * time.Millisecond
)

// client is the source of one customer's requests.
type client struct {
	world    *Simulation
	customer load.Customer
	random   *rand.Rand
	number   int
}

// request is one customer request with all its sends.
type request struct {
	client   *client
	class    load.Class
	root     string
	key      string
	crash    bool
	arrived  time.Time
	finished time.Time
	sends    int
}

func newClient(w *Simulation, c load.Customer) *client {
	return &client{world: w, customer: c, random: rand.New(rand.NewPCG(w.seed, xxhash.Sum64String(c.Name)))}
}

// arrive starts the next request at the time of a Poisson process.
func (c *client) arrive() {
	w := c.world
	gap := c.random.ExpFloat64() / (c.customer.Rate * w.demand)
	w.AfterFunc(time.Duration(gap*float64(time.Second)), func() {
		if !w.loaded {
			return
		}
		c.newRequest(c.customer.PickClass(c.random.Float64()), false).send()
		c.arrive()
	})
}

func (c *client) newRequest(class load.Class, crash bool) *request {
	c.number++
	r := &request{client: c, class: class, arrived: c.world.Now(), crash: crash}
	r.root = fmt.Sprintf("%s-%d", c.customer.Name, c.number)
	if class.NonRepeatable {
		r.key = message.KeyAt(c.world.Now(), []byte(r.root))
	}
	c.world.history.RecordImportance(r.root, class.Importance)
	return r
}

// send sends the request once more.
func (r *request) send() {
	w := r.client.world
	r.sends++
	sent := r.sends
	h := w.entry()
	if h == nil {
		r.fail()
		return
	}
	answered := false
	w.AfterFunc(r.class.Deadline, func() {
		if !answered && sent == r.sends {
			answered = true
			r.fail()
		}
	})
	w.AfterFunc(w.latency(), func() {
		if !h.up {
			return
		}
		h.call(r.dispatch(), message.CallID{}, func(a *message.Answer) {
			w.AfterFunc(w.latency(), func() {
				r.told(sent, a)
				if !answered {
					answered = true
					r.judge(a)
				}
			})
		})
	})
}

func (r *request) dispatch() *dispatcher.Request {
	identity := wire.Identity{Root: r.root, Attempt: r.sends, WorkKey: r.key, Crash: r.crash}
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

// told records what the caller was told of one send.
func (r *request) told(sent int, a *message.Answer) {
	w := r.client.world
	w.history.Report(history.Report{
		Root: r.root, Attempt: sent, Service: r.class.Service, NotRun: a.Outcome == outcome.NotRun,
	})
	w.reasons[a.Outcome.String()+" "+a.Reason.String()]++
	if a.Reason == outcome.Overload {
		w.history.RecordRefusal(history.Refusal{Root: r.root, Service: r.class.Service, At: w.Now()})
	}
}

// judge decides whether the request is sent again.
func (r *request) judge(a *message.Answer) {
	switch {
	case a.Outcome == outcome.Complete && a.Status == http.StatusOK:
		r.finished = r.client.world.Now()
		r.finish()
	case a.Outcome == outcome.Complete && r.key != "":
		r.finish() // the answer of a key stays the same
	default:
		r.fail()
	}
}

// fail sends the request again, or gives it up.
func (r *request) fail() {
	if r.sends > r.client.customer.MaxRetries {
		r.finish()
		return
	}
	pause := calmPause
	if r.client.world.hard {
		pause = hardPause
	}
	r.client.world.AfterFunc(pause, r.send)
}

func (r *request) finish() {
	r.client.world.history.RecordRequest(history.Request{
		Root: r.root, Service: r.class.Service, Importance: r.class.Importance,
		Arrived: r.arrived, Completed: r.finished, Deadline: r.class.Deadline, Attempts: r.sends,
	})
}
