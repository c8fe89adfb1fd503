package requestcount

import "time"

// buckets is the number of buckets of a window. It is even, so that a window that began
// half a window earlier has whole buckets.
const buckets = 20

// Counter counts requests in a sliding window and in the two that count in its place if
// they have more: the one that ended when it began, and the one that began half a window
// before it. A disturbance that turns requests away does not shrink the count at once.
//
// A Counter is not safe for concurrent use.
type Counter struct {
	bucket  time.Duration
	counts  [2 * buckets]float64
	newest  int64   // index of the newest bucket since the Unix epoch
	present float64 // requests in the present window
	earlier float64 // requests in the larger one of the two others
}

// New returns a counter without requests. A window is 1 us at least.
func New(window time.Duration) *Counter {
	return &Counter{bucket: max(window, time.Microsecond) / buckets}
}

// Add records n requests.
func (c *Counter) Add(now time.Time, n float64) {
	c.advance(now)
	c.counts[c.newest%(2*buckets)] += n
	c.present += n
}

// Count returns the number of requests that count now.
func (c *Counter) Count(now time.Time) float64 {
	c.advance(now)
	return max(c.present, c.earlier)
}

// Recent returns about the number of requests within the last d, a part of the window.
func (c *Counter) Recent(now time.Time, d time.Duration) float64 {
	c.advance(now)
	whole := min(int(d/c.bucket), buckets)
	covered := time.Duration(whole)*c.bucket + time.Duration(now.UnixNano()%int64(c.bucket))
	return c.sum(0, whole+1) * min(1, float64(d)/float64(max(covered, 1)))
}

// advance clears the buckets that have left the windows, and sums up the windows when a
// bucket begins.
func (c *Counter) advance(now time.Time) {
	n := now.UnixNano() / int64(c.bucket)
	if n == c.newest {
		return
	}
	if n-c.newest >= 2*buckets || n < c.newest {
		c.counts = [2 * buckets]float64{}
	} else {
		for i := c.newest + 1; i <= n; i++ {
			c.counts[i%(2*buckets)] = 0
		}
	}
	c.newest = n
	c.present, c.earlier = c.sum(0, buckets), max(c.sum(buckets/2, buckets), c.sum(buckets, buckets))
}

// sum returns the requests in a number of buckets, of which the last one is the newest
// but skip.
func (c *Counter) sum(skip, number int) float64 {
	total := 0.0
	for i := skip; i < skip+number; i++ {
		total += c.counts[(c.newest-int64(i)+2*buckets)%(2*buckets)]
	}
	return total
}
