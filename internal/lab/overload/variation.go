package overload

import (
	"math"
	"slices"
	"time"

	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/roster"
	"github.com/papayapath/papayapath/pkg/servicetime"
	"github.com/papayapath/papayapath/pkg/workload"
)

// Choice is how nodes choose servers.
type Choice uint8

// Ways to choose a server.
const (
	ByLoad    Choice = iota // by reported load and mean service time
	ByOutlook               // by the expected outcome of the request
	KnownSize               // by its true size and the true state of all servers
)

// ParseChoice returns the choice with a name: load, outlook or size.
func ParseChoice(name string) (Choice, error) {
	names := []string{ByLoad: "load", ByOutlook: "outlook", KnownSize: "size"}
	if i := slices.Index(names, name); i >= 0 {
		return Choice(i), nil
	}
	return 0, &PatternError{field: "choice", reason: "must be load, outlook or size"}
}

// Variation describes how requests and servers differ. The zero value stands for
// requests of similar sizes and servers of equal speed.
type Variation struct {
	Choice Choice
	// Domains is the number of failure domains; 0 means 3.
	Domains int
	// Spread is the standard deviation of the logarithm of the sizes of requests. If it
	// is 0, sizes are spread evenly by half of their mean.
	Spread float64
	// TailShare of the requests are TailFactor times as large.
	TailShare, TailFactor float64
	// Speeds are the speeds of the servers of each service, repeated in order.
	Speeds []float64
	// The first server of NoisyService is slower by noiseFactor for noiseTime in each
	// noiseInterval.
	NoisyService string
	// All servers of ColdService but the last are started again, one after another, each
	// coldInterval, and are slower by coldFactor for coldTime.
	ColdService string
	// ReportInterval is the least time between two reports of a server to a node; 0
	// means that each answer is one.
	ReportInterval time.Duration
	// Wave is the amplitude of the demand of each failure domain, which follows a sine
	// with a period of wavePeriod and its own phase.
	Wave float64
}

const (
	noiseFactor   = 2.5
	noiseTime     = 600 * time.Millisecond
	noiseInterval = 3 * time.Second
	coldFactor    = 2
	coldTime      = 3 * time.Second
	coldInterval  = 4 * time.Second
	wavePeriod    = 15 * time.Second
	// KnownSize weighs an answer from another failure domain, one that takes as long as
	// its objective, and a request that waits by these costs, in answers within their
	// objective.
	crossingCost = 0.02
	delayCost    = 0.05
	fullCost     = 0.1
)

func (v *Variation) domains() int {
	if v.Domains == 0 {
		return failureDomains
	}
	return v.Domains
}

// size returns the service time of a request of a class at a server of speed 1, in
// milliseconds. The mean is the work of the class.
func (sim *Simulation) size(c *class) float64 {
	v := &sim.pattern.Variation
	if v.Spread == 0 {
		return c.Work * (1 - serviceTimeSpread + 2*serviceTimeSpread*sim.random.Float64())
	}
	size := c.Work * math.Exp(v.Spread*sim.random.NormFloat64()-v.Spread*v.Spread/2) / (1 + v.TailShare*(max(1, v.TailFactor)-1))
	if sim.random.Float64() < v.TailShare {
		size *= v.TailFactor
	}
	return size
}

// newCall returns a call of a class at a node. With a spread, its size is known from the
// start on.
func (sim *Simulation) newCall(c *class, n *node) *call {
	made := &call{class: c, origin: n, started: sim.Now()}
	if sim.pattern.Variation.Spread > 0 {
		made.size = sim.size(c)
	}
	return made
}

// speedNow returns the present speed of the server of a node.
func (n *node) speedNow() float64 {
	sim := n.simulation
	v, elapsed := &sim.pattern.Variation, sim.Now().Sub(sim.started)
	speed := n.speed
	if v.NoisyService == n.service && n.index == 0 && elapsed%noiseInterval < noiseTime {
		speed /= noiseFactor
	}
	if sim.Now().Before(n.coldUntil) {
		speed /= coldFactor
	}
	return speed
}

// startRestarts schedules the restarts of the servers of a service.
func (sim *Simulation) startRestarts(service string, servers int) {
	next := 0
	var restart func()
	restart = func() {
		n := sim.nodes[sim.firstOf(service)+next]
		next = (next + 1) % (servers - 1)
		n.coldUntil = sim.Now().Add(coldTime)
		for _, other := range sim.nodes {
			other.roster.Remove(n.name)
			other.setCandidates(sim.candidates)
		}
		sim.AfterFunc(coldInterval, restart)
	}
	sim.AfterFunc(coldInterval, restart)
}

// firstOf returns the index of the first node of a service.
func (sim *Simulation) firstOf(service string) int {
	for i, n := range sim.nodes {
		if n.service == service {
			return i
		}
	}
	return 0
}

// hasDemand reports whether a request arrives in a failure domain at the present point
// of its wave. Requests come at the peak rate, and some of them do not arrive.
func (sim *Simulation) hasDemand(domain int) bool {
	v := &sim.pattern.Variation
	if v.Wave == 0 {
		return true
	}
	phase := sim.Now().Sub(sim.started).Seconds()/wavePeriod.Seconds() + float64(domain)/float64(v.domains())
	return sim.random.Float64()*(1+v.Wave) < 1+v.Wave*math.Sin(2*math.Pi*phase)
}

// outlooks is what a node learns of its server for the choice by outlook.
type outlooks struct {
	times    *servicetime.Estimator
	workload *workload.Tracker
}

// route returns the key of the requests of a class.
func (c *class) route() message.Route { return message.RouteOf(c.Service, "", c.Name) }

// outlook returns what the node expects of its server.
func (n *node) outlook(c *class) roster.Outlook {
	return roster.Outlook{
		Wait:        n.outlooks.workload.Wait(n.simulation.Now(), n.runner.Limit(), n.runner.Queued()),
		ServiceTime: n.outlooks.times.Usual(c.route()), Slowdown: n.outlooks.times.Slowdown(),
	}
}

// recordReport stores the report and the outlook of a server that came with an answer. The
// argument latency is 0 unless the answer is complete.
func (n *node) recordReport(c *call, name string, a answer, latency time.Duration) {
	now, interval := n.simulation.Now(), n.simulation.pattern.Variation.ReportInterval
	if at, ok := n.heard[name]; ok && now.Sub(at) < interval {
		return
	}
	n.heard[name] = now
	n.roster.RecordReport(now, name, a.report)
	n.roster.RecordOutlook(now, name, c.class.route(), a.outlook, latency)
}

// chooseUsable returns the server for a call, or "".
func (n *node) chooseUsable(now time.Time, c *call, usable func(string) bool, budgetAllows func(float64) bool) string {
	sim := n.simulation
	switch sim.pattern.Variation.Choice {
	case ByOutlook:
		req := roster.Request{Service: c.class.Service, Route: c.class.route(), Objective: c.class.objective - now.Sub(c.started)}
		if sim.pooled {
			req.Objective = c.useful.Sub(now)
		}
		return n.roster.ChooseFor(now, req, sim.random.Float64(), usable, budgetAllows)
	case KnownSize:
		return n.chooseByTruth(c, usable)
	}
	return n.roster.Choose(now, c.class.Service, sim.random.Float64(), usable, budgetAllows)
}

// chooseByTruth returns the server with the least cost, given the size of the call and
// the true state of all servers.
func (n *node) chooseByTruth(c *call, usable func(string) bool) string {
	best, least := "", math.Inf(1)
	left := (c.class.objective - n.simulation.Now().Sub(c.started)).Seconds()
	for _, to := range n.simulation.nodes {
		if to.service != c.class.Service || !usable(to.name) {
			continue
		}
		delay := 2*n.networkDelay(to).Seconds() + to.backlog() + c.size/1000/to.speedNow()
		cost := delayCost * delay / c.class.objective.Seconds()
		if delay > left {
			cost++
		}
		if to.domain != n.domain {
			cost += crossingCost
		}
		if to.free() <= 0 {
			cost += fullCost
		}
		if cost < least {
			best, least = to.name, cost
		}
	}
	return best
}

// free returns the number of slots that no request runs in, waits for or is about to need.
func (n *node) free() int {
	return n.runner.Limit() - n.runner.Running() - n.runner.Queued() - n.arriving
}

// backlog returns the seconds until a further request starts at the server: the true
// remaining work beyond its free slots.
func (n *node) backlog() float64 {
	return float64(max(0, 1-n.free())) * n.runner.MeanServiceTime().Seconds() / float64(n.runner.Limit())
}
