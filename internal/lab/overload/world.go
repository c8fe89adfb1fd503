package overload

import (
	"math/rand/v2"
	"time"

	"github.com/papayapath/papayapath/internal/lab/optimum"
	"github.com/papayapath/papayapath/internal/lab/timeline"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/roster"
)

const (
	// hop is the time of a message between two instances.
	hop = 1200 * time.Microsecond
	// domains is the number of failure domains.
	domains = 3
	// defaultWait and defaultObjective apply to classes that state none.
	defaultWait      = 5 * time.Second
	defaultObjective = time.Second
)

// Simulation is a deployment with its clients under virtual time. It is not safe for
// concurrent use.
type Simulation struct {
	*timeline.Scheduler
	scenario   *optimum.Scenario
	pattern    Pattern
	random     *rand.Rand
	classes    map[string]*class
	nodes      []*node
	names      map[string]*node
	requests   uint64
	statistics Statistics
}

// class is a kind of request with what is derived from it.
type class struct {
	*optimum.Class
	level     importance.Level
	objective time.Duration
	wait      time.Duration
	calls     []*class // one for each call, in their order
}

// New returns the deployment of a scenario, each server with a node. It returns
// a *PatternError for a pattern that does not fit, or an *importance.NameError
// for a class of an unknown importance.
func New(s *optimum.Scenario, p Pattern, seed uint64) (*Simulation, error) {
	if err := p.check(s); err != nil {
		return nil, err
	}
	w := &Simulation{
		Scheduler: timeline.New(time.Date(2026, time.January, 5, 8, 0, 0, 0, time.UTC)),
		scenario:  s, pattern: p, random: rand.New(rand.NewPCG(seed, seed)),
		classes: make(map[string]*class), names: make(map[string]*node),
	}
	if err := w.addClasses(); err != nil {
		return nil, err
	}
	var candidates []roster.Candidate
	for _, v := range s.Services {
		for i := range v.Servers {
			n := newNode(w, v, i)
			w.nodes, w.names[n.name] = append(w.nodes, n), n
			candidates = append(candidates, roster.Candidate{Node: n.name, Service: v.Name, Slots: v.Slots})
		}
	}
	for _, n := range w.nodes {
		n.join(candidates)
	}
	for _, c := range s.Classes {
		w.startClients(w.classes[c.Name])
	}
	return w, nil
}

func (w *Simulation) addClasses() error {
	for i := range w.scenario.Classes {
		c := &class{Class: &w.scenario.Classes[i], level: importance.Normal, objective: defaultObjective, wait: defaultWait}
		if c.Level != "" {
			var err error
			if c.level, err = importance.Parse(c.Level); err != nil {
				return err
			}
		}
		if c.Objective > 0 {
			c.objective = milliseconds(c.Objective)
		}
		if c.Timeout > 0 {
			c.wait = milliseconds(c.Timeout)
		}
		w.classes[c.Name] = c
	}
	for _, c := range w.classes {
		for _, call := range c.Calls {
			for range int(call.PerRun) {
				c.calls = append(c.calls, w.classes[call.Class])
			}
		}
	}
	return nil
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Statistics are what clients asked for and got.
type Statistics struct {
	asked, earned  float64
	requests, late int
	refused        int
	runs, wasted   int
}

// ResetStatistics begins to count anew, as at the end of a warm-up.
func (w *Simulation) ResetStatistics() { w.statistics = Statistics{} }

// Statistics returns what was counted since the start or the last Reset. Requests
// count when they have ended.
func (w *Simulation) Statistics() Statistics { return w.statistics }

// Worth returns the worth of the answers in time, as a part of what was asked for.
func (f Statistics) Worth() float64 {
	if f.asked == 0 {
		return 1
	}
	return f.earned / f.asked
}

// LateRatio returns the part of the requests that were answered after their objective.
func (f Statistics) LateRatio() float64 { return float64(f.late) / float64(max(1, f.requests)) }

// RefusedRatio returns the part of the requests that were refused for good or failed.
func (f Statistics) RefusedRatio() float64 { return float64(f.refused) / float64(max(1, f.requests)) }

// WastedRatio returns the part of the runs that failed for want of an answer to one
// of their calls.
func (f Statistics) WastedRatio() float64 { return float64(f.wasted) / float64(max(1, f.runs)) }
