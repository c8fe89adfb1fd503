package overload

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/papayapath/papayapath/internal/lab/optimum"
	"github.com/papayapath/papayapath/internal/lab/timeline"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/priority"
	"github.com/papayapath/papayapath/pkg/roster"
)

const (
	// messageDelay is the one-way message delay between two instances.
	messageDelay = 1200 * time.Microsecond
	// failureDomains is the number of failure domains.
	failureDomains = 3
	// defaultTimeout and defaultObjective apply to classes that set none.
	defaultTimeout   = 5 * time.Second
	defaultObjective = time.Second
)

// Simulation simulates a deployment and its clients in virtual time. It is not
// safe for concurrent use.
type Simulation struct {
	*timeline.Scheduler
	scenario    *optimum.Scenario
	pattern     Pattern
	random      *rand.Rand
	classes     map[string]*class
	nodes       []*node
	nodesByName map[string]*node
	candidates  []roster.Candidate
	started     time.Time
	requests    uint64
	statistics  Statistics
	pooled      bool
	byArrival   bool
	arrivals    map[string]*arrivals // by service
}

// servers returns the number of servers of a service.
func (sim *Simulation) servers(service string) int {
	for _, v := range sim.scenario.Services {
		if v.Name == service {
			return v.Servers
		}
	}
	return 0
}

// class is a request class with parsed and defaulted settings.
type class struct {
	*optimum.Class
	level     importance.Level
	objective time.Duration
	timeout   time.Duration
	calls     []*class // nested calls in order, repeated PerRun times
	// fanout is the number of calls that a run causes at each service, further down too.
	fanout []fanout
}

// startTime is the virtual time at which simulations start.
var startTime = time.Date(2026, time.January, 5, 8, 0, 0, 0, time.UTC)

// Option changes a default of New.
type Option func(*Simulation)

// WithPool puts the parts of the product in force that share the servers of all
// services by importance: retry budgets at the servers, admission by the retries that
// requests need, and the order of queues by the time until the objective.
func WithPool() Option { return func(sim *Simulation) { sim.pooled = true } }

// WithOrderOfArrival orders the requests of one priority beside a server by their arrival
// also if the pool is in force.
func WithOrderOfArrival() Option { return func(sim *Simulation) { sim.byArrival = true } }

// New returns a simulation of a scenario, with one node for each server. It
// returns a *PatternError if the pattern is invalid for the scenario, or an
// *importance.NameError if a class has an unknown importance.
func New(s *optimum.Scenario, p Pattern, seed uint64, options ...Option) (*Simulation, error) {
	if err := p.validate(s); err != nil {
		return nil, err
	}
	sim := &Simulation{
		Scheduler: timeline.New(startTime),
		scenario:  s, pattern: p, random: rand.New(rand.NewPCG(seed, seed)),
		classes: make(map[string]*class), nodesByName: make(map[string]*node),
		arrivals: make(map[string]*arrivals),
	}
	for _, o := range options {
		o(sim)
	}
	sim.started = sim.Now()
	sim.ResetStatistics()
	if err := sim.addClasses(); err != nil {
		return nil, err
	}
	for _, v := range s.Services {
		for i := range v.Servers {
			n := newNode(sim, v, i)
			sim.nodes, sim.nodesByName[n.name] = append(sim.nodes, n), n
			sim.candidates = append(sim.candidates, roster.Candidate{Node: n.name, Service: v.Name, Slots: v.Slots})
		}
	}
	for _, n := range sim.nodes {
		n.setCandidates(sim.candidates)
	}
	for _, v := range s.Services {
		if v.Name == p.Variation.ColdService {
			sim.startRestarts(v.Name, v.Servers)
		}
	}
	for _, c := range s.Classes {
		sim.startArrivals(sim.classes[c.Name])
	}
	return sim, nil
}

func (sim *Simulation) addClasses() error {
	for i := range sim.scenario.Classes {
		c := &class{Class: &sim.scenario.Classes[i], level: importance.Normal, objective: defaultObjective, timeout: defaultTimeout}
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
			c.timeout = milliseconds(c.Timeout)
		}
		sim.classes[c.Name] = c
	}
	for _, c := range sim.classes {
		for _, call := range c.Calls {
			for range int(call.PerRun) {
				c.calls = append(c.calls, sim.classes[call.Class])
			}
		}
	}
	for _, c := range sim.classes {
		calls := make(map[string]float64)
		c.countCalls(calls)
		for _, service := range slices.Sorted(maps.Keys(calls)) {
			c.fanout = append(c.fanout, fanout{service, calls[service]})
		}
	}
	return nil
}

// fanout is the number of calls that a run causes at a service.
type fanout struct {
	service string
	calls   float64
}

// countCalls adds the calls that a run of the class causes at each service.
func (c *class) countCalls(calls map[string]float64) {
	for _, call := range c.calls {
		calls[call.Service]++
		call.countCalls(calls)
	}
}

// rank returns the importance of the class as a number from 0 to 1.
func (c *class) rank() float64 { return priority.New(c.level, "").Rank(false) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Statistics counts client requests and runs and their results.
type Statistics struct {
	requestedWorth, earnedWorth float64
	requests, late              int
	refused                     int
	runs, wasted                int
	limited                     map[string][]time.Time // starts of the runs at each server that names a limit
	classes                     map[string]*ended      // results of the requests of each class
	latencies                   []time.Duration        // of the answered requests
	offers                      map[string]offers      // by class; "" stands for all
}

// ended counts the requests that have ended, and those among them that were answered
// within their objective.
type ended struct{ all, inTime int }

// Served returns the fraction of the requests of a class that were answered within
// their objective.
func (s Statistics) Served(class string) float64 {
	e := s.classes[class]
	if e == nil {
		return 1
	}
	return float64(e.inTime) / float64(e.all)
}

// offers counts the offers of calls of a class.
type offers struct{ all, crossing int }

func (s *Statistics) countOffer(class string, crosses bool) {
	for _, name := range [...]string{"", class} {
		o := s.offers[name]
		o.all++
		if crosses {
			o.crossing++
		}
		s.offers[name] = o
	}
}

// ResetStatistics clears the statistics, such as at the end of a warm-up.
func (sim *Simulation) ResetStatistics() {
	sim.statistics = Statistics{
		limited: make(map[string][]time.Time), classes: make(map[string]*ended), offers: make(map[string]offers),
	}
}

// Statistics returns the statistics since the start or the last ResetStatistics.
// A request is counted when it ends.
func (sim *Simulation) Statistics() Statistics { return sim.statistics }

// Worth returns the worth of the answers within their objective, as a fraction of
// the requested worth.
func (s Statistics) Worth() float64 {
	if s.requestedWorth == 0 {
		return 1
	}
	return s.earnedWorth / s.requestedWorth
}

// LateRatio returns the fraction of the requests that were answered after their
// objective.
func (s Statistics) LateRatio() float64 { return float64(s.late) / float64(max(1, s.requests)) }

// RefusedRatio returns the fraction of the requests that ended without an answer.
func (s Statistics) RefusedRatio() float64 { return float64(s.refused) / float64(max(1, s.requests)) }

// Percentile returns the time within which the given fraction of the answers came.
func (s Statistics) Percentile(fraction float64) time.Duration {
	if len(s.latencies) == 0 {
		return 0
	}
	ordered := slices.Sorted(slices.Values(s.latencies))
	return ordered[min(len(ordered)-1, int(fraction*float64(len(ordered))))]
}

// CrossingRatio returns the fraction of the offers of a class, or of all if it is "", to
// servers in another failure domain.
func (s Statistics) CrossingRatio(class string) float64 {
	o := s.offers[class]
	return float64(o.crossing) / float64(max(1, o.all))
}

// WastedRatio returns the fraction of the runs that failed because one of their
// nested calls failed.
func (s Statistics) WastedRatio() float64 { return float64(s.wasted) / float64(max(1, s.runs)) }

// MostLimited returns the largest number of runs that a server which names a limit
// began in some time of the given length, and 0 if there is no such server.
func (s Statistics) MostLimited(window time.Duration) int {
	most := 0
	for _, starts := range s.limited {
		first := 0
		for last := range starts {
			for starts[last].Sub(starts[first]) >= window {
				first++
			}
			most = max(most, last-first+1)
		}
	}
	return most
}
