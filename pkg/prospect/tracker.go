package prospect

import (
	"time"

	"github.com/papayapath/papayapath/pkg/ratio"
)

const (
	// minChance is the chance of a good end from which a request is begun. With a smaller
	// one, most of the work that it causes is done for nothing.
	minChance = 0.5
	// memory is the time in which the weight of a request falls to 1/e. A request that
	// fails for lack of capacity takes about as long.
	memory = 1500 * time.Millisecond
	// minRequests is the weight of requests from which their chance counts.
	minRequests = 3
	// probeInterval is the time between two requests that are begun against the odds.
	// Without them nothing would tell that capacity is back.
	probeInterval = time.Second
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
	ends  *ratio.Ratio
	probe time.Time // when the last request was begun against the odds
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
		s = &kind{ends: ratio.New(memory)}
		t.kinds[k] = s
	}
	s.ends.Add(now, well)
}

// Allows reports whether a request of a kind may be begun.
func (t *Tracker[K]) Allows(now time.Time, k K) bool {
	s := t.kinds[k]
	switch {
	case s == nil || s.ends.Events(now) < minRequests || s.ends.Fraction(now) >= minChance:
		return true
	case now.Sub(s.probe) >= probeInterval:
		s.probe = now
		return true
	}
	return false
}
