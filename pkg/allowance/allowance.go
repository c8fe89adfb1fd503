package allowance

import (
	"time"

	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/requestcount"
)

const (
	// buckets is the number of buckets of the sliding window.
	buckets = 10
	// usableFraction is the fraction of the budget that all nodes together may
	// spend. The windows of the nodes and of an observer are not aligned, and
	// retries in flight at the end of a window count in the next one.
	usableFraction = 0.75
	// reservedFraction is the part of the budget that retries of the least important
	// requests leave for others.
	reservedFraction = 0.75
)

// Allowance is the share that one node has in the retry budget of one service
// over a sliding window. It is not safe for concurrent use.
type Allowance struct {
	ratio    float64
	slack    float64
	earlier  *requestcount.Counter // counts the requests in place of requests, if not nil
	bucket   time.Duration
	requests [buckets]float64
	retries  [buckets]float64
	newest   int64 // index of the newest bucket since the Unix epoch
}

// Option changes a default of New.
type Option func(*Allowance)

// WithEarlierRequests counts the requests of an earlier window in place of the present
// one if it has more, as the rule on the budget does. A disturbance that turns requests
// away takes the budget of a sliding window when it is needed most.
func WithEarlierRequests() Option {
	return func(a *Allowance) { a.earlier = requestcount.New(a.bucket * buckets) }
}

// New returns an unused allowance. Within each window, the retries of all nodes
// are limited to ratio times their requests, plus slack. A window is 1 us at least.
func New(ratio, slack float64, window time.Duration, options ...Option) *Allowance {
	a := &Allowance{ratio: ratio, slack: slack, bucket: max(window, time.Microsecond) / buckets}
	for _, o := range options {
		o(a)
	}
	return a
}

// advance clears the buckets that have left the window and returns the index of the
// current one.
func (a *Allowance) advance(now time.Time) int64 {
	n := now.UnixNano() / int64(a.bucket)
	if n-a.newest > buckets || n < a.newest {
		a.requests, a.retries = [buckets]float64{}, [buckets]float64{}
	} else {
		for i := a.newest + 1; i <= n; i++ {
			a.requests[i%buckets], a.retries[i%buckets] = 0, 0
		}
	}
	a.newest = n
	return n
}

// Request records a client request or a call made by a backend server.
func (a *Allowance) Request(now time.Time) { a.Requests(now, 1) }

// Requests records a number of requests and calls.
func (a *Allowance) Requests(now time.Time, n float64) {
	if a.earlier != nil {
		a.earlier.Add(now, n)
		return
	}
	a.requests[a.advance(now)%buckets] += n
}

// Allows reports whether a request of the given importance may cause the given
// number of retries now, if nodes share the slack. Part of the budget is
// reserved for more important requests, so that it is not exhausted by less
// important ones when every request needs a retry.
func (a *Allowance) Allows(now time.Time, nodes int, level importance.Level, retries float64) bool {
	a.advance(now)
	level = min(level, importance.Critical)
	requests, spent := 0.0, 0.0
	for i, r := range a.requests {
		requests += r
		spent += a.retries[i]
	}
	if a.earlier != nil {
		requests = a.earlier.Count(now)
	}
	budget := usableFraction * (a.ratio*requests + a.slack/float64(max(1, nodes)))
	return spent+retries <= budget*(1-reservedFraction*float64(importance.Critical-level)/float64(importance.Critical))
}

// Spend records retries, including any that exceed the allowance.
func (a *Allowance) Spend(now time.Time, retries float64) {
	a.retries[a.advance(now)%buckets] += retries
}
