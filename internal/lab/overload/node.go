package overload

import (
	"fmt"
	"slices"
	"time"

	"github.com/papayapath/papayapath/internal/lab/optimum"
	"github.com/papayapath/papayapath/pkg/allowance"
	"github.com/papayapath/papayapath/pkg/latency"
	"github.com/papayapath/papayapath/pkg/priority"
	"github.com/papayapath/papayapath/pkg/roster"
	"github.com/papayapath/papayapath/pkg/runner"
	"github.com/papayapath/papayapath/pkg/window"
)

const (
	// maxOffers bounds the nodes to which one request is offered.
	maxOffers = 4
	// budgetRatio, budgetSlack and budgetWindow are the retry budget of a
	// service, as the operators of both deployments set it.
	budgetRatio  = 0.2
	budgetSlack  = 48
	budgetWindow = 10 * time.Second
)

// node is an entry for clients and for its own server, and the queue before
// that server.
type node struct {
	world      *Simulation
	name       string
	service    string
	domain     int
	speed      float64
	shed       float64
	expiring   bool
	runner     *runner.Runner[*run]
	roster     *roster.Roster
	windows    map[*class]*window.Window
	latencies  map[*class]*latency.Estimator
	allowances map[string]*allowance.Allowance
}

func newNode(w *Simulation, v optimum.Service, index int) *node {
	n := &node{
		world: w, name: fmt.Sprintf("%s-%d", v.Name, index), service: v.Name, domain: index % domains, speed: v.Speed,
		runner: runner.New[*run](), roster: roster.New(),
		windows: make(map[*class]*window.Window), latencies: make(map[*class]*latency.Estimator),
		allowances: make(map[string]*allowance.Allowance),
	}
	if n.speed == 0 {
		n.speed = 1
	}
	if index == 0 && w.pattern.SlowService == v.Name {
		n.speed /= w.pattern.SlowFactor
	}
	if index == 0 && w.pattern.SheddingService == v.Name {
		n.shed = w.pattern.ShedFraction
	}
	n.runner.SetSlots(v.Slots)
	return n
}

// join tells the node of the servers that it can choose.
func (n *node) join(candidates []roster.Candidate) {
	own := slices.Clone(candidates)
	for i := range own {
		own[i].SameDomain = n.world.names[own[i].Node].domain == n.domain
	}
	n.roster.Replace(own)
}

func (n *node) window(c *class) *window.Window {
	w := n.windows[c]
	if w == nil {
		w = window.New(c.objective)
		n.windows[c] = w
	}
	return w
}

// latency returns the mean latency of a class, or 0 if it is unknown.
func (n *node) latency(c *class) time.Duration {
	if e := n.latencies[c]; e != nil {
		return e.Mean()
	}
	return 0
}

func (n *node) learn(c *class, d time.Duration) {
	e := n.latencies[c]
	if e == nil {
		e = &latency.Estimator{}
		n.latencies[c] = e
	}
	e.Add(d)
}

func (n *node) allowance(service string) *allowance.Allowance {
	a := n.allowances[service]
	if a == nil {
		a = allowance.New(budgetRatio, budgetSlack, budgetWindow)
		n.allowances[service] = a
	}
	return a
}

// ending says how a call has ended.
type ending uint8

const (
	served  ending = iota
	refused        // for want of a place
	failed         // shed by servers, or a call of the run has failed
)

// call is a request of a client or of a server's run, at its node of arrival.
type call struct {
	class    *class
	at       *node
	priority priority.Priority
	end      time.Time
	tried    []string
	delay    time.Duration
	refused  bool // a call further down found no place
	outcome  ending
	done     func()
}

// finish ends a call.
func (c *call) finish(e ending) {
	c.outcome = e
	c.done()
}

// send offers a call to the best node that was not tried.
func (n *node) send(c *call) {
	w := n.world
	now := w.Now()
	if len(c.tried) == 0 {
		n.allowance(c.class.Service).Request(now)
	}
	name := n.roster.Choose(now, c.class.Service, w.random.Float64(), func(name string) bool {
		return !slices.Contains(c.tried, name)
	}, func(retries float64) bool { return n.affords(c, retries) })
	if name == "" || len(c.tried) >= maxOffers || !now.Before(c.end) {
		c.finish(refused)
		return
	}
	c.tried = append(c.tried, name)
	n.roster.Begin(name)
	sent := now
	to := w.names[name]
	w.AfterFunc(n.distance(to), func() {
		to.accept(c, func(a answer) {
			w.AfterFunc(n.distance(to), func() { n.settle(c, name, sent, a) })
		})
	})
}

// affords reports whether the retry budget has room for retries of a call.
func (n *node) affords(c *call, retries float64) bool {
	return n.allowance(c.class.Service).Allows(n.world.Now(), len(n.world.nodes), c.priority.Level(), retries)
}

// distance returns the time of a message to another node.
func (n *node) distance(to *node) time.Duration {
	if n == to {
		return 0
	}
	return hop
}

// settle decides what follows from an answer.
func (n *node) settle(c *call, name string, sent time.Time, a answer) {
	now := n.world.Now()
	n.roster.End(name)
	a.report.Failed = a.kind == shed
	n.roster.RecordReport(now, name, a.report)
	c.delay += a.delay
	c.refused = c.refused || a.refused
	switch a.kind {
	case answered:
		n.learn(c.class, now.Sub(sent))
		c.finish(served)
	case noPlace:
		n.send(c)
	case shed:
		if n.affords(c, 1) {
			n.allowance(c.class.Service).Spend(now, 1)
			n.send(c)
			return
		}
		c.finish(failed)
	case broken:
		c.finish(failed)
	}
}
