package prospect

import "time"

const (
	// minChance is the chance of a good end from which a request is begun. With a smaller
	// one, most of the work that it causes is done for nothing.
	minChance = 0.5
	// endWeight is the weight of an end in the chance, and probeWeight that of one while
	// requests are only begun to find out whether capacity is back: there are few of them.
	endWeight   = 1.0 / 8
	probeWeight = 1.0 / 2
	// probeInterval is the time between two requests that are begun against the odds.
	// Without them nothing would tell that capacity is back.
	probeInterval = 2 * time.Second
	// expiry is the time after which ends tell nothing of the next request. It is longer
	// than a probe takes to end, many times over.
	expiry = 30 * time.Second
	// maxKinds bounds the number of kinds.
	maxKinds = 1024
)

// Tracker keeps how the requests of each kind end that were begun. K identifies a kind.
//
// Requests of little importance wait behind all others at a service without room, and
// their calls expire there. They fail after the work above that service has been done. An
// admission window shrinks for it, but not below one request at each entry node, and grows
// again after a success.
//
// A Tracker is not safe for concurrent use. Create it with New.
type Tracker[K comparable] struct {
	kinds map[K]*kind
}

type kind struct {
	chance   float64   // weighted mean of recent ends, 1 for a good one
	ended    time.Time // time of the last end
	probedAt time.Time // when the last request was begun against the odds
}

// New returns a tracker that has seen no request.
func New[K comparable]() *Tracker[K] { return &Tracker[K]{kinds: make(map[K]*kind)} }

// Record records the end of a request that was begun: well, or failed for lack of
// capacity. Other failures do not count, since they tell nothing of the next request.
func (t *Tracker[K]) Record(now time.Time, k K, well bool) {
	s := t.kinds[k]
	if s == nil {
		if len(t.kinds) >= maxKinds {
			clear(t.kinds)
		}
		s = &kind{chance: 1}
		t.kinds[k] = s
	}
	if now.Sub(s.ended) > expiry {
		s.chance = 1
	}
	s.ended = now
	weight, end := endWeight, 0.0
	if s.chance < minChance {
		weight = probeWeight
	}
	if well {
		end = 1
	}
	s.chance += weight * (end - s.chance)
}

// Allows reports whether a request of a kind may be begun.
func (t *Tracker[K]) Allows(now time.Time, k K) bool {
	s := t.kinds[k]
	switch {
	case s == nil || s.chance >= minChance || now.Sub(s.ended) > expiry:
		return true
	case now.Sub(s.probedAt) >= probeInterval:
		s.probedAt = now
		return true
	}
	return false
}
