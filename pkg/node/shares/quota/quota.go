package quota

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
)

const (
	// Interval is the time between two reports of demand.
	Interval = time.Second
	// fresh is how long a share stays in force in full. It covers two reports
	// of which one is lost.
	fresh = 2 * Interval
	// silence is the age from which only the even split counts.
	silence = 5 * time.Second
	// idle is how long a node without requests goes on reporting, so that the
	// allocators learn that its demand is gone.
	idle = 3 * Interval
	// headroom is the time for which a node may save up its share.
	headroom = 500 * time.Millisecond
	// assumedNodes is the number of nodes among which the rate is split while
	// no allocator has answered yet.
	assumedNodes = 3
	// sources is the number of allocators whose shares are kept.
	sources = 3
)

// Quota admits requests of one customer at one node up to the node's share of
// the customer's rate. It is a token bucket whose rate follows the shares
// that the allocators send.
type Quota struct {
	customer string
	rate     float64 // contracted requests a second, over all nodes
	burst    int     // contracted burst, over all nodes
	bucket   *rate.Limiter
	shares   [sources]share
	nodes    int // nodes known to be active
	assumed  int // nodes assumed while none are known
	meter    meter
	adjusted time.Time
}

// share is the last message of one allocator.
type share struct {
	from instance.ID
	rate float64
	at   time.Time
}

// Option sets a property of a Quota.
type Option func(*Quota)

// WithNodes sets among how many nodes the rate is split before the first share
// arrives.
func WithNodes(n int) Option { return func(q *Quota) { q.assumed = max(n, 1) } }

// New returns the quota of a customer with the contracted rate, in requests a
// second, and burst.
func New(now time.Time, customer string, contracted float64, burst int, options ...Option) *Quota {
	q := &Quota{customer: customer, rate: contracted, burst: burst, assumed: assumedNodes}
	for _, o := range options {
		o(q)
	}
	q.meter.start(now)
	q.bucket = rate.NewLimiter(0, q.part(q.even()))
	q.adjust(now)
	return q
}

// Customer returns the name of the customer.
func (q *Quota) Customer() string { return q.customer }

// Change sets a new contracted rate and burst.
func (q *Quota) Change(now time.Time, contracted float64, burst int) {
	if contracted == q.rate && burst == q.burst {
		return
	}
	if q.rate > 0 {
		q.scale(contracted / q.rate)
	}
	q.rate, q.burst = contracted, burst
	q.adjust(now)
}

// Allow counts a request and reports whether it is within the share.
func (q *Quota) Allow(now time.Time) bool {
	q.meter.count(now)
	if now.Sub(q.adjusted) >= Interval {
		q.adjust(now)
	}
	return q.bucket.AllowN(now, 1)
}

// Refund gives back the token of a request that was admitted but not sent.
func (q *Quota) Refund(now time.Time) { q.bucket.AllowN(now, -1) }

// Share takes over a share that an allocator sent.
func (q *Quota) Share(now time.Time, from instance.ID, m message.Share) {
	slot := 0
	for i, s := range q.shares {
		if s.from == from {
			slot = i
			break
		}
		if s.at.Before(q.shares[slot].at) {
			slot = i
		}
	}
	q.shares[slot] = share{from: from, rate: m.Rate, at: now}
	q.nodes = max(m.Nodes, 1)
	q.adjust(now)
}

// Report returns the demand to send to the allocators. ok is false if no
// report is due.
func (q *Quota) Report(now time.Time) (m message.Demand, ok bool) {
	if !q.meter.due(now) {
		return message.Demand{}, false
	}
	return message.Demand{Customer: q.customer, Rate: q.meter.read(now)}, true
}

// Idle reports whether the customer has made no request for so long that the
// quota may be dropped.
func (q *Quota) Idle(now time.Time) bool { return now.Sub(q.meter.last) > silence+idle }

// Current returns the requests a second that are admitted at present.
func (q *Quota) Current() float64 { return float64(q.bucket.Limit()) }

// adjust sets the token bucket to the share that counts now.
func (q *Quota) adjust(now time.Time) {
	q.adjusted = now
	current := q.current(now)
	q.bucket.SetLimitAt(now, rate.Limit(current))
	q.bucket.SetBurstAt(now, q.localBurst(current))
}

// current returns the smallest of the fresh shares, because an allocator that
// has just started knows few nodes and gives too much. A share older than
// that moves to the even split.
func (q *Quota) current(now time.Time) float64 {
	least, found := 0.0, false
	var newest share
	for _, s := range q.shares {
		if s.at.IsZero() {
			continue
		}
		if now.Sub(s.at) <= fresh && (!found || s.rate < least) {
			least, found = s.rate, true
		}
		if s.at.After(newest.at) {
			newest = s
		}
	}
	switch {
	case found:
		return least
	case newest.at.IsZero():
		return q.even()
	}
	return q.decayed(newest, now.Sub(newest.at))
}

func (q *Quota) decayed(s share, age time.Duration) float64 {
	if age >= silence {
		return q.even()
	}
	part := float64(age-fresh) / float64(silence-fresh)
	return s.rate + part*(q.even()-s.rate)
}

func (q *Quota) even() float64 {
	n := q.nodes
	if n == 0 {
		n = q.assumed
	}
	return q.rate / float64(n)
}

// part returns the node's part of the contracted burst. It is at least one
// request, because a bucket that holds less admits nothing.
func (q *Quota) part(current float64) int {
	if q.rate <= 0 || q.burst <= 0 {
		return 0
	}
	return max(int(math.Round(float64(q.burst)*current/q.rate)), 1)
}

// localBurst returns the most requests that the node admits at once: its part
// of the contracted burst, or what its share admits in headroom if that is
// more, since requests reach a single node less evenly than the whole mesh.
func (q *Quota) localBurst(current float64) int {
	room := min(int(math.Round(current*headroom.Seconds())), q.burst)
	return max(q.part(current), room)
}

func (q *Quota) scale(factor float64) {
	for i := range q.shares {
		q.shares[i].rate *= factor
	}
}
