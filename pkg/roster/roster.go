package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/papayapath/papayapath/pkg/message"
)

// Candidate is a node whose backend server accepts requests of a service.
type Candidate struct {
	Node       string // address of the node
	Service    string
	Slots      int  // announced concurrency of the server, 0 if unknown
	SameDomain bool // whether the node is in the own failure domain
}

// Report is the state of a server that its node sends with an answer.
type Report struct {
	Load  int           // running and queued requests
	Limit int           // concurrency limit
	Time  time.Duration // service time, without queueing
	// Share is the even share of this node in the requests a second that the
	// server takes from all nodes, or 0 if it names no limit.
	Share float64
	// Failed reports whether the server shed the request or broke off, which
	// causes a retry or a lost request. A shedding server looks idle and fast
	// and would otherwise attract more and more requests.
	Failed bool
	// Lost reports whether the outcome of the request is unknown. Used by ChooseFor.
	Lost bool
}

// Roster holds the state of the servers of all services as one node sees them.
//
// A Roster is not safe for concurrent use.
type Roster struct {
	servers  map[string]*server // by address of the node
	services map[string][]*server
	groups   map[string]*group // by service, for ChooseFor
	routes   map[message.Route]*route
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		servers: make(map[string]*server), services: make(map[string][]*server),
		groups: make(map[string]*group), routes: make(map[message.Route]*route),
	}
}

// Replace sets the candidates. The state of a node is kept until Remove is
// called, whether or not the node is a candidate.
func (r *Roster) Replace(candidates []Candidate) {
	clear(r.services)
	for _, c := range candidates {
		s := r.state(c.Node)
		s.service, s.slots, s.sameDomain = c.Service, c.Slots, c.SameDomain
	}
	// Choose reads the servers of a service one after the other, so they are neighbors
	// in memory.
	ordered := slices.SortedFunc(maps.Values(r.servers), func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.node, b.node))
	})
	states := make([]server, len(ordered))
	for i, s := range ordered {
		states[i] = *s
		r.servers[s.node] = &states[i]
	}
	for _, c := range candidates {
		r.services[c.Service] = append(r.services[c.Service], r.servers[c.Node])
	}
	r.addToGroups(candidates)
}

// Remove deletes the state of a node that has left.
func (r *Roster) Remove(node string) { delete(r.servers, node) }

// Begin records that a request is offered to a node.
func (r *Roster) Begin(node string) {
	s := r.state(node)
	s.sent++
	s.inFlight++
}

// End records that an offer to a node has ended, with or without an answer.
func (r *Roster) End(node string) {
	if s := r.servers[node]; s != nil && s.inFlight > 0 {
		s.inFlight--
	}
}

// RecordReport stores the report of a node and updates its failure rate.
func (r *Roster) RecordReport(now time.Time, node string, report Report) {
	s := r.state(node)
	s.report, s.sent, s.reported = report, 0, now
	failed := 0.0
	if report.Failed {
		failed = 1
	}
	s.failureRate += failureWeight * (failed - s.failureRate)
	lost := 0.0
	if report.Lost {
		lost = 1
	}
	s.outlook.lossRate += failureWeight * (lost - s.outlook.lossRate)
}

// RecordOverdue records that a node has not answered a request for the given
// time, which is a lower bound of its service time.
func (r *Roster) RecordOverdue(now time.Time, node string, elapsed time.Duration) {
	s := r.state(node)
	s.report.Time = max(s.report.Time, elapsed)
	s.reported = now
	s.outlook.overdue, s.outlook.overdueAt = min(maxOverdue, s.outlook.overdue+1), now
}

// Services returns the names of the services with candidates in sorted order.
func (r *Roster) Services() []string { return slices.Sorted(maps.Keys(r.services)) }

// Servers returns the number of candidates of a service.
func (r *Roster) Servers(service string) int { return len(r.services[service]) }

// InFlight returns the number of offers to a node that have not ended.
func (r *Roster) InFlight(node string) int {
	if s := r.servers[node]; s != nil {
		return s.inFlight
	}
	return 0
}

// IsNear reports whether a node is a candidate in the own failure domain.
func (r *Roster) IsNear(node string) bool {
	s := r.servers[node]
	return s != nil && s.sameDomain
}

// HasCapacity reports whether a server is known to have a free slot.
func (r *Roster) HasCapacity(node string) bool {
	s := r.servers[node]
	return s != nil && s.report.Load+s.sent < s.report.Limit
}

// Choose returns the usable candidate of a service with the lowest expected
// latency, or "" if there is none. The argument random, in [0, 1), breaks ties,
// so that nodes without reports spread their requests.
//
// A server that sheds some of its requests may have more free capacity than the
// others, but each shed request needs a retry. Such a server is chosen only if
// budgetAllows accepts the required number of retries or if there is no other
// candidate.
func (r *Roster) Choose(now time.Time, service string, random float64, usable func(node string) bool, budgetAllows func(requiredRetries float64) bool) string {
	servers := r.services[service]
	reported := sumServiceTimes(servers)
	offset := int(random * float64(len(servers)))
	var best, healthy choice
	for i := range servers {
		s := servers[(i+offset)%len(servers)]
		cost := s.cost(now, reported.meanWithout(s))
		improvesBest, improvesHealthy := best.improvedBy(cost), s.expectedFailureRate(now) < sheddingThreshold && healthy.improvedBy(cost)
		if !improvesBest && !improvesHealthy || !usable(s.node) {
			continue
		}
		if improvesBest {
			best = choice{s, cost}
		}
		if improvesHealthy {
			healthy = choice{s, cost}
		}
	}
	switch {
	case best.server == nil:
		return ""
	case healthy.server != nil && best.server != healthy.server && !budgetAllows(best.server.requiredRetries(now)):
		return healthy.server.node
	}
	return best.server.node
}

// choice is the server with the lowest cost so far.
type choice struct {
	server *server
	cost   time.Duration
}

// improvedBy reports whether a server with the given cost is a better choice.
func (c choice) improvedBy(cost time.Duration) bool { return c.server == nil || cost < c.cost }

// state returns the state of the server of a node and creates it if needed.
func (r *Roster) state(node string) *server {
	s := r.servers[node]
	if s == nil {
		s = &server{node: node}
		r.servers[node] = s
	}
	return s
}

// serviceTimes is the sum of the reported service times.
type serviceTimes struct {
	sum   time.Duration
	count int
}

func sumServiceTimes(servers []*server) serviceTimes {
	var t serviceTimes
	for _, s := range servers {
		if s.report.Time > 0 {
			t.sum += s.report.Time
			t.count++
		}
	}
	return t
}

// meanWithout returns the mean service time of the servers other than s. A mean
// that included a slow server of a small service would hide that it is slower
// than the others.
func (t serviceTimes) meanWithout(s *server) time.Duration {
	if s.report.Time > 0 {
		t.sum -= s.report.Time
		t.count--
	}
	if t.count == 0 {
		return minServiceTime
	}
	return t.sum / time.Duration(t.count)
}
