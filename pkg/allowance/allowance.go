package allowance

import (
	"time"

	"github.com/papayapath/papayapath/pkg/importance"
)

const (
	// buckets is the number of parts into which a window is divided.
	buckets = 10
	// caution is the part of the budget that the nodes use together. The
	// windows of the nodes and those of an observer are not aligned, and
	// retries that are on their way when a window ends count in the next.
	caution = 0.75
)

// Allowance is one node's share of the retry budget of one service, over a
// sliding window. It is not safe for concurrent use.
type Allowance struct {
	ratio    float64
	slack    float64
	bucket   time.Duration
	requests [buckets]float64
	retries  [buckets]float64
	current  int64 // number of the newest bucket
}

// New returns an unused allowance: within each window, retries are bounded by
// ratio times the requests plus slack, summed over all nodes.
func New(ratio, slack float64, window time.Duration) *Allowance {
	return &Allowance{ratio: ratio, slack: slack, bucket: window / buckets}
}

// advance empties the buckets that have left the window.
func (a *Allowance) advance(now time.Time) int {
	n := now.UnixNano() / int64(a.bucket)
	if n-a.current >= buckets || n < a.current {
		a.requests, a.retries = [buckets]float64{}, [buckets]float64{}
	} else {
		for i := a.current + 1; i <= n; i++ {
			a.requests[i%buckets], a.retries[i%buckets] = 0, 0
		}
	}
	a.current = n
	return int(n % buckets)
}

// Request records a request of a client or a call of a server.
func (a *Allowance) Request(now time.Time) { a.requests[a.advance(now)]++ }

// Allows reports whether a request of some importance may cause so many
// retries now, given the number of nodes that share the slack. Less important
// requests leave a part of the budget to the others, so that these still find
// some when all requests need a retry.
func (a *Allowance) Allows(now time.Time, nodes int, level importance.Level, retries float64) bool {
	a.advance(now)
	requests, taken := 0.0, 0.0
	for i := range buckets {
		requests += a.requests[i]
		taken += a.retries[i]
	}
	budget := caution * (a.ratio*requests + a.slack/float64(max(1, nodes)))
	return taken+retries <= budget*float64(level+1)/float64(importance.Critical+1)
}

// Spend records retries. They count even if the allowance did not suffice.
func (a *Allowance) Spend(now time.Time, retries float64) { a.retries[a.advance(now)] += retries }
