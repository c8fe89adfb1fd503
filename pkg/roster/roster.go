package roster

import (
	"maps"
	"slices"
	"time"
)

// Candidate is a node whose backend server takes requests of a service.
type Candidate struct {
	Node       string // address of the node
	Service    string
	Slots      int  // requests that the server runs at once, as announced; 0 if unknown
	SameDomain bool // in the own failure domain
}

// Report is what a node tells of its server on an answer.
type Report struct {
	Load  int           // requests that run or wait there
	Limit int           // requests that it runs at once
	Time  time.Duration // that a request takes there, without waiting
	// Failed says that the server shed the request or broke off, so that it is
	// sent again or lost. A server that sheds is idle and quick, and would draw
	// more and more requests.
	Failed bool
}

// Roster holds the servers of all services as one node sees them. It is not
// safe for concurrent use.
type Roster struct {
	servers  map[string]*server // by address of the node
	services map[string][]*server
}

// New returns a roster without servers.
func New() *Roster {
	return &Roster{servers: make(map[string]*server), services: make(map[string][]*server)}
}

// Replace sets the servers that can be chosen. What was told of a server is
// kept while its node remains known.
func (r *Roster) Replace(candidates []Candidate) {
	clear(r.services)
	for _, c := range candidates {
		s := r.at(c.Node)
		s.slots, s.home = c.Slots, c.SameDomain
		r.services[c.Service] = append(r.services[c.Service], s)
	}
}

// Remove removes what is known of a node that is gone.
func (r *Roster) Remove(node string) { delete(r.servers, node) }

// Begin records that a request is offered to a node.
func (r *Roster) Begin(node string) {
	s := r.at(node)
	s.since++
	s.open++
}

// End records that an offer to a node has ended, with or without an answer.
func (r *Roster) End(node string) {
	if s := r.servers[node]; s != nil && s.open > 0 {
		s.open--
	}
}

// RecordReport takes over what a node reported.
func (r *Roster) RecordReport(now time.Time, node string, report Report) {
	s := r.at(node)
	s.report, s.since, s.told = report, 0, now
	failed := 0.0
	if report.Failed {
		failed = 1
	}
	s.failures += failureWeight * (failed - s.failures)
}

// RecordOverdue records that a request got no answer from a node for a time.
func (r *Roster) RecordOverdue(now time.Time, node string, waited time.Duration) {
	s := r.at(node)
	s.report.Time = max(s.report.Time, waited)
	s.told = now
}

// Services returns the services with servers that can be chosen, in order.
func (r *Roster) Services() []string { return slices.Sorted(maps.Keys(r.services)) }

// InFlight returns the number of offers to a node that have not ended.
func (r *Roster) InFlight(node string) int {
	if s := r.servers[node]; s != nil {
		return s.open
	}
	return 0
}

// HasCapacity reports whether a server has a free place as far as is known.
func (r *Roster) HasCapacity(node string) bool {
	s := r.servers[node]
	return s != nil && s.report.Load+s.since < s.report.Limit
}

// Choose returns the node of a service at which a request is likely to be
// answered first, among those that are usable, or "". random, in [0, 1), decides
// between equals, so that nodes which know nothing yet spread their requests.
//
// A server that sheds part of its requests can take more than the others, but
// each one that it sheds needs a retry. It is chosen only while afford says that
// the retry budget has room for the retries to be expected, or if there is no
// other.
func (r *Roster) Choose(now time.Time, service string, random float64, usable func(node string) bool, afford func(retries float64) bool) string {
	servers := r.services[service]
	all := total(servers)
	offset := int(random * float64(len(servers)))
	var best, sound choice
	for i := range servers {
		s := servers[(i+offset)%len(servers)]
		cost := s.cost(now, all.without(s))
		better, sounder := best.beats(cost), s.failing(now) < failingFrom && sound.beats(cost)
		if !better && !sounder || !usable(s.node) {
			continue
		}
		if better {
			best = choice{s, cost}
		}
		if sounder {
			sound = choice{s, cost}
		}
	}
	switch {
	case best.server == nil:
		return ""
	case sound.server != nil && best.server != sound.server && !afford(best.server.retries(now)):
		return sound.server.node
	}
	return best.server.node
}

// choice is the best server so far.
type choice struct {
	server *server
	cost   time.Duration
}

// beats reports whether a server of another cost is better.
func (c choice) beats(cost time.Duration) bool { return c.server == nil || cost < c.cost }

// at returns the record of the server beside a node.
func (r *Roster) at(node string) *server {
	s := r.servers[node]
	if s == nil {
		s = &server{node: node}
		r.servers[node] = s
	}
	return s
}

// times sums up the run times that servers told.
type times struct {
	sum   time.Duration
	count int
}

func total(servers []*server) times {
	var t times
	for _, s := range servers {
		if s.report.Time > 0 {
			t.sum += s.report.Time
			t.count++
		}
	}
	return t
}

// without returns the mean run time of the other servers. With its own run time
// in it, a slow server of a small service would never look like the others.
func (t times) without(s *server) time.Duration {
	if s.report.Time > 0 {
		t.sum -= s.report.Time
		t.count--
	}
	if t.count == 0 {
		return shortest
	}
	return t.sum / time.Duration(t.count)
}
