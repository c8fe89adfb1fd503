package demand

import (
	"time"

	"github.com/papayapath/papayapath/pkg/requestcount"
)

const (
	// usableFraction is the part of the retry budget that is promised. Some requests end
	// before they use what they were promised; nodes beside servers keep the bound.
	usableFraction = 1.05
	// depth is the part of the budget that may be promised at once. With the rest, spread
	// evenly over the window, a disturbance of 8 s uses up most of the budget of 10 s.
	depth = 0.08
	// least and most are the fillings at which the least and the most important requests
	// are refused, as parts of the depth. What a rank leaves is there for those above it.
	// The most important ones may run into debt, which requests run up that were begun
	// before the disturbance.
	least, most = 0.75, -0.5
)

// bucket promises retries at the rate at which the retry budget renews itself. The less
// important a request, the more it has to leave in the bucket, so that the important ones
// take first what they need, without an estimate of it.
type bucket struct {
	ratio, slack float64
	window       time.Duration
	calls        *requestcount.Counter
	filling      float64 // retries
	filled       time.Time
}

func newBucket(ratio, slack float64, window time.Duration) *bucket {
	return &bucket{ratio: ratio, slack: slack, window: window, calls: requestcount.New(window)}
}

// budget returns the retries that may be promised within a window.
func (b *bucket) budget(now time.Time) float64 {
	return usableFraction * (b.ratio*b.calls.Count(now) + b.slack)
}

// hasRoom reports whether a request of the given rank may take retries.
func (b *bucket) hasRoom(now time.Time, rank float64) bool {
	budget := b.fill(now)
	return b.filling > (least+(most-least)*rank)*depth*budget
}

// take takes n retries, whether they are there or not.
func (b *bucket) take(now time.Time, n float64) {
	b.fill(now)
	b.filling -= n
}

// fill adds what has been renewed since the last call, and returns the budget.
func (b *bucket) fill(now time.Time) float64 {
	budget := b.budget(now)
	elapsed := min(max(0, now.Sub(b.filled)), b.window)
	b.filled = now
	b.filling = min(depth*budget, max(-depth*budget, b.filling)+budget*float64(elapsed)/float64(b.window))
	return budget
}
