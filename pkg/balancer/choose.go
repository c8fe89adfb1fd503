package balancer

import (
	"math/rand/v2"
	"time"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/priority"
)

const (
	// probes bounds the random draws before all servers are looked at.
	probes = 8
	// trialShare is how many even shares of calls must pass before a server
	// that loses each comparison is tried again.
	trialShare = 8
	// trialInterval is the shortest time between two such trials. It grows with
	// the square of the calls that wait for the server.
	trialInterval = 250 * time.Millisecond
	// trialHalvings bounds how often good answers after failures halve both.
	trialHalvings = 3
	// equality is the largest ratio of two scores that count as equal. It
	// covers the noise of the answer time.
	equality = 1.125
)

// Verdict says why no server was chosen.
type Verdict uint8

// Verdicts of Choose and Admit.
const (
	// Chosen means that there is a server for the call.
	Chosen Verdict = iota
	// Refused means that every server would refuse the call for overload.
	Refused
	// Leaving means that the only server for the call is draining.
	Leaving
	// Absent means that no server of the service can be reached.
	Absent
)

// Choose returns the better of two random servers for a call of priority p.
// Servers in tried are left out. The caller reports the call with Start.
//
// A critical call that was tried nowhere yet is not refused on account of
// thresholds.
func (b *Balancer) Choose(now time.Time, p priority.Priority, tried []*Server) (*Server, Verdict) {
	insist := critical(p) && len(tried) == 0
	if !insist && b.refuses(now, p) {
		return nil, Refused
	}
	found := b.draw(now, p, tried)
	if found.seen == 0 && insist {
		found = b.drawAny()
	}
	if found.seen == 0 {
		found = b.scan(now, p, tried, insist)
	}
	if found.seen == 0 {
		return nil, b.reject(tried)
	}
	return b.better(now, found.first, found.second), Chosen
}

// Admit decides on a call that only the server id may run.
func (b *Balancer) Admit(now time.Time, id instance.ID, p priority.Priority) (*Server, Verdict) {
	s, ok := b.Server(id)
	switch {
	case !ok:
		return nil, Absent
	case s.draining:
		return s, Leaving
	case s.suspected:
		return s, Absent
	case !critical(p) && !s.threshold.Admits(now, p):
		return s, Refused
	}
	return s, Chosen
}

// draw looks for two different usable servers by random draws. It gives up
// after a few, and at once if a scan costs less.
func (b *Balancer) draw(now time.Time, p priority.Priority, tried []*Server) (found pair) {
	if len(b.servers) <= probes {
		return found
	}
	for range probes {
		s := b.servers[b.random.IntN(len(b.servers))]
		if s == found.first || !s.present() || !s.settled(now) || !s.threshold.Admits(now, p) || contains(tried, s) {
			continue
		}
		if found.add(b.random, s); found.seen == 2 {
			break
		}
	}
	return found
}

// drawAny looks for a server that takes work at all, for a call that insists.
func (b *Balancer) drawAny() (found pair) {
	if len(b.servers) <= probes {
		return found
	}
	for range probes {
		if s := b.servers[b.random.IntN(len(b.servers))]; s.present() {
			found.add(b.random, s)
			break
		}
	}
	return found
}

// scan draws two servers at random among the best kind that there is: those in
// full use that admit the call, then others that admit it, and for a call that
// insists those that do not. It keeps the smallest effective threshold for the
// next calls, so that refusals stay cheap at a service with many servers.
func (b *Balancer) scan(now time.Time, p priority.Priority, tried []*Server, insist bool) pair {
	var full, limited, refusing pair
	floor := ^priority.Priority(0)
	for _, s := range b.servers {
		if !s.present() {
			continue
		}
		least := s.threshold.At(now)
		floor = min(floor, least)
		switch {
		case contains(tried, s):
		case p < least:
			if insist {
				refusing.add(b.random, s)
			}
		case s.settled(now):
			full.add(b.random, s)
		default:
			limited.add(b.random, s)
		}
	}
	b.floor, b.floorEnd = floor, now.Add(floorTime)
	switch {
	case full.seen > 0:
		return full
	case limited.seen > 0:
		return limited
	case insist:
		return refusing
	}
	return pair{}
}

// reject tells apart that all servers refuse and that there are none.
func (b *Balancer) reject(tried []*Server) Verdict {
	for _, s := range b.servers {
		if s.present() && !contains(tried, s) {
			return Refused
		}
	}
	return Absent
}

// pair holds two different servers, drawn at random from all that were added.
type pair struct {
	first, second *Server
	seen          int
}

func (p *pair) add(random *rand.Rand, s *Server) {
	p.seen++
	switch p.seen {
	case 1:
		p.first = s
	case 2:
		p.second = s
	default:
		p.replace(random.IntN(p.seen), s)
	}
}

func (p *pair) replace(i int, s *Server) {
	switch i {
	case 0:
		p.first = s
	case 1:
		p.second = s
	}
}

func (b *Balancer) better(now time.Time, first, second *Server) *Server {
	if second == nil {
		return first
	}
	if b.trial(now, first) {
		return first
	}
	if b.trial(now, second) {
		return second
	}
	low, high := first, second
	x, y := b.score(now, low), b.score(now, high)
	if y < x {
		low, high, x, y = high, low, y, x
	}
	if y > x*equality {
		return low
	}
	return b.equal(low, high)
}

// equal chooses between servers of equal score: the one in the own failure
// domain, otherwise at random, so that callers do not all prefer the same one.
func (b *Balancer) equal(first, second *Server) *Server {
	switch {
	case first.near != second.near && first.near:
		return first
	case first.near != second.near:
		return second
	case b.random.IntN(2) == 0:
		return first
	}
	return second
}

// trial reports whether a server that loses each comparison is due for a call,
// by which its recovery is noticed.
func (b *Balancer) trial(now time.Time, s *Server) bool {
	age := now.Sub(s.picked)
	if age < trialInterval>>trialHalvings {
		return false // the usual case
	}
	halvings := min(s.good, trialHalvings)
	waiting := time.Duration(s.inFlight + 1)
	return age >= trialInterval>>halvings*waiting*waiting &&
		b.turns-s.turn >= trialShare>>halvings*uint64(len(b.servers))
}

func contains(servers []*Server, s *Server) bool {
	for _, t := range servers {
		if t == s {
			return true
		}
	}
	return false
}
