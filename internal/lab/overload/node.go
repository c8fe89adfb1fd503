package overload

import (
	"fmt"
	"slices"
	"time"

	"github.com/papayapath/papayapath/internal/lab/optimum"
	"github.com/papayapath/papayapath/pkg/allowance"
	"github.com/papayapath/papayapath/pkg/intake"
	"github.com/papayapath/papayapath/pkg/latency"
	"github.com/papayapath/papayapath/pkg/notice"
	"github.com/papayapath/papayapath/pkg/priority"
	"github.com/papayapath/papayapath/pkg/roster"
	"github.com/papayapath/papayapath/pkg/runner"
	"github.com/papayapath/papayapath/pkg/servicetime"
	"github.com/papayapath/papayapath/pkg/window"
	"github.com/papayapath/papayapath/pkg/workload"
)

const (
	// maxOffers is the maximum number of nodes to which a call is offered.
	maxOffers = 4
	// The retry budget of a service, as the operators of both deployments
	// configure it.
	retryBudgetRatio  = 0.2
	retryBudgetSlack  = 48
	retryBudgetWindow = 10 * time.Second
)

// node accepts calls from clients and from its own backend server, and queues
// calls for that server.
type node struct {
	simulation      *Simulation
	name            string
	service         string
	domain          int
	index           int // among the servers of the service
	speed           float64
	coldUntil       time.Time
	arriving        int                  // offers under way
	heard           map[string]time.Time // latest report, by server
	outlooks        outlooks
	shed            float64
	named           notice.Notice // what the server says in its answers
	intake          *intake.Intake
	expiryScheduled bool
	runner          *runner.Runner[*run]
	roster          *roster.Roster
	windows         map[*class]*window.Window
	latencies       map[*class]*latency.Estimator
	allowances      map[string]*allowance.Allowance
	pool            *pool // nil unless the pool is in force
}

func newNode(sim *Simulation, v optimum.Service, index int) *node {
	n := &node{
		simulation: sim, name: fmt.Sprintf("%s-%d", v.Name, index), service: v.Name, domain: index % sim.pattern.Variation.domains(), index: index, speed: v.Speed,
		heard: make(map[string]time.Time), outlooks: outlooks{times: servicetime.New(), workload: workload.New()},
		intake: &intake.Intake{}, roster: roster.New(),
		windows: make(map[*class]*window.Window), latencies: make(map[*class]*latency.Estimator),
		allowances: make(map[string]*allowance.Allowance),
	}
	options := []runner.Option{runner.WithPacer(n.intake)}
	if sim.pooled && !sim.byArrival {
		options = append(options, runner.WithDeadlines())
	}
	n.runner = runner.New[*run](options...)
	if n.speed == 0 {
		n.speed = 1
	}
	if speeds := sim.pattern.Variation.Speeds; len(speeds) > 0 {
		n.speed *= speeds[index%len(speeds)]
	}
	if index < sim.pattern.LimitedServers && sim.pattern.LimitedService == v.Name {
		n.named = notice.Notice{Limited: true, Rate: sim.pattern.ServerRate}
	}
	if index == 0 && sim.pattern.SlowService == v.Name {
		n.speed /= sim.pattern.SlowFactor
	}
	if index < max(1, sim.pattern.SheddingServers) && sim.pattern.SheddingService == v.Name {
		n.shed = sim.pattern.ShedFraction
	}
	n.runner.SetSlots(v.Slots)
	if sim.pooled {
		n.pool = newPool(n, v)
	}
	return n
}

// setCandidates sets the servers from which the node chooses.
func (n *node) setCandidates(candidates []roster.Candidate) {
	own := slices.Clone(candidates)
	for i := range own {
		own[i].SameDomain = n.simulation.nodesByName[own[i].Node].domain == n.domain
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

// latency returns the mean latency of a class, or 0 if none has been measured.
func (n *node) latency(c *class) time.Duration {
	if e := n.latencies[c]; e != nil {
		return e.Mean()
	}
	return 0
}

func (n *node) recordLatency(c *class, d time.Duration) {
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
		var options []allowance.Option
		if n.pool != nil {
			options = append(options, allowance.WithEarlierRequests())
		}
		a = allowance.New(retryBudgetRatio, retryBudgetSlack, retryBudgetWindow, options...)
		n.allowances[service] = a
	}
	return a
}

// callResult is the result of a call.
type callResult uint8

const (
	served  callResult = iota
	refused            // no node had capacity
	failed             // shed by servers, or a nested call failed
)

// call is a request of a client or of a run, at the node that received it.
type call struct {
	class    *class
	origin   *node
	priority priority.Priority
	started  time.Time
	size     float64 // service time at a server of speed 1, in ms
	end      time.Time
	useful   time.Time // until which the answer meets the objective of the client's request
	tried    []string
	delay    time.Duration
	refused  bool // a nested call was refused for lack of capacity
	outcome  callResult
	attempts
	done func()
}

// finish completes a call.
func (c *call) finish(e callResult) {
	c.outcome = e
	c.done()
}

// send offers a call to the best node that has not been tried.
func (n *node) send(c *call) {
	sim := n.simulation
	now := sim.Now()
	if len(c.tried) == 0 && !c.isResent {
		n.allowance(c.class.Service).Request(now)
		if n.pool != nil {
			n.pool.count(now, c)
		}
	}
	name := n.choose(now, c)
	if name == "" || c.offers >= maxOffers || !now.Before(c.end) {
		if c.isUnfunded {
			c.finish(failed)
		} else {
			c.finish(refused)
		}
		return
	}
	c.tried = append(c.tried, name)
	c.offers++
	if n.pool != nil {
		c.credit = n.pool.gate.Credit(now, c.class.Service, name)
	}
	n.roster.Begin(name)
	sent := now
	to := sim.nodesByName[name]
	to.arriving++
	sim.statistics.countOffer(c.class.Name, n.domain != to.domain)
	sim.AfterFunc(n.networkDelay(to), func() {
		to.arriving--
		to.handleOffer(c, func(a answer) {
			sim.AfterFunc(n.networkDelay(to), func() { n.handleAnswer(c, name, sent, a) })
		})
	})
}

// choose returns the server to which a call is offered next, or "" if there is none.
func (n *node) choose(now time.Time, c *call) string {
	return n.chooseUsable(now, c, func(name string) bool {
		return !slices.Contains(c.tried, name)
	}, func(retries float64) bool { return n.withinRetryBudget(c, retries) })
}

// withinRetryBudget reports whether the retry budget allows retries of a call.
func (n *node) withinRetryBudget(c *call, retries float64) bool {
	return n.allowance(c.class.Service).Allows(n.simulation.Now(), len(n.simulation.nodes), c.priority.Level(), retries)
}

// networkDelay returns the one-way message delay to another node.
func (n *node) networkDelay(to *node) time.Duration {
	if n == to {
		return 0
	}
	return messageDelay
}

// handleAnswer completes the call or retries it at another node.
func (n *node) handleAnswer(c *call, name string, sent time.Time, a answer) {
	now := n.simulation.Now()
	n.roster.End(name)
	a.report.Failed = a.kind == shed
	latency := time.Duration(0)
	if a.kind == answered {
		latency = now.Sub(sent) - a.delay
	}
	n.recordReport(c, name, a, latency)
	c.delay += a.delay
	c.refused = c.refused || a.refused
	if n.pool != nil {
		n.pool.learn(c, name, a)
	}
	switch a.kind {
	case answered:
		n.recordLatency(c.class, now.Sub(sent))
		c.finish(served)
	case unfunded:
		c.isUnfunded = true
		n.send(c)
	case rejected:
		n.send(c)
	case shed:
		if n.pool != nil {
			n.resend(c)
			return
		}
		if n.withinRetryBudget(c, 1) {
			n.allowance(c.class.Service).Spend(now, 1)
			c.isResent = true
			n.send(c)
			return
		}
		c.finish(failed)
	case callFailed:
		c.finish(failed)
	}
}
