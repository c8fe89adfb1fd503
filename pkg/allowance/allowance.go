package allowance

import (
	"time"

	"github.com/papayapath/papayapath/pkg/importance"
)

const (
	// buckets is the number of buckets of the sliding window.
	buckets = 10
	// usableFraction is the fraction of the budget that all nodes together may
	// spend. The windows of the nodes and of an observer are not aligned, and
	// retries in flight at the end of a window count in the next one.
	usableFraction = 0.75
)

// Allowance is the share that one node has in the retry budget of one service
// over a sliding window. It is not safe for concurrent use.
type Allowance struct {
	ratio    float64
	slack    float64
	bucket   time.Duration
	requests [buckets]float64
	retries  [buckets]float64
	newest   int64 // index of the newest bucket since the Unix epoch
}

// New returns an unused allowance. Within each window, the retries of all nodes
// are limited to ratio times their requests, plus slack. A window is 1 us at least.
func New(ratio, slack float64, window time.Duration) *Allowance {
	return &Allowance{ratio: ratio, slack: slack, bucket: max(window, time.Microsecond) / buckets}
}

// advance clears the buckets that have left the window and returns the position
// of the current one.
func (a *Allowance) advance(now time.Time) int {
	n := now.UnixNano() / int64(a.bucket)
	if n-a.newest >= buckets || n < a.newest {
		a.requests, a.retries = [buckets]float64{}, [buckets]float64{}
	} else {
		for i := a.newest + 1; i <= n; i++ {
			a.requests[i%buckets], a.retries[i%buckets] = 0, 0
		}
	}
	a.newest = n
	return int(n % buckets)
}

// Request records a client request or a call made by a backend server.
func (a *Allowance) Request(now time.Time) { a.requests[a.advance(now)]++ }

// Allows reports whether a request of the given importance may cause the given
// number of retries now, if nodes share the slack. Part of the budget is
// reserved for more important requests, so that it is not exhausted by less
// important ones when every request needs a retry.
func (a *Allowance) Allows(now time.Time, nodes int, level importance.Level, retries float64) bool {
	a.advance(now)
	level = min(level, importance.Critical)
	requests, spent := 0.0, 0.0
	for i := range buckets {
		requests += a.requests[i]
		spent += a.retries[i]
	}
	budget := usableFraction * (a.ratio*requests + a.slack/float64(max(1, nodes)))
	return spent+retries <= budget*float64(level+1)/float64(importance.Critical+1)
}

// Spend records retries, including any that exceed the allowance.
func (a *Allowance) Spend(now time.Time, retries float64) { a.retries[a.advance(now)] += retries }
