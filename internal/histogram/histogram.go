package histogram

import (
	"math/bits"
	"sync"
	"time"
)

const (
	// subBuckets is the number of buckets for each power of two. A quantile is at most
	// an eighth too large.
	subBuckets    = 1 << subBucketBits
	subBucketBits = 3
	// maxBits is the number of bits of the longest duration, in microseconds, that has a
	// bucket of its own.
	maxBits = 36
	buckets = (maxBits - subBucketBits + 1) * subBuckets
	// halvingInterval is the interval at which the weight of earlier durations is
	// halved.
	halvingInterval = time.Minute
)

// Histogram counts durations. The latest minutes count most. The zero value is empty. It
// is safe for concurrent use.
type Histogram struct {
	mu       sync.Mutex
	counts   [buckets]uint32
	total    uint64 // since the start
	halvedAt time.Time
}

// Add counts a duration.
func (h *Histogram) Add(now time.Time, d time.Duration) {
	i := bucket(uint64(max(0, d.Microseconds())))
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.halvedAt) > halvingInterval {
		for i := range h.counts {
			h.counts[i] /= 2
		}
		h.halvedAt = now
	}
	h.counts[i]++
	h.total++
}

// Count returns the number of durations that have been counted.
func (h *Histogram) Count() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.total
}

// Quantile returns the duration that the given fraction of all does not exceed, or 0 if
// there are none.
func (h *Histogram) Quantile(fraction float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	var sum uint64
	for _, n := range h.counts {
		sum += uint64(n)
	}
	if sum == 0 {
		return 0
	}
	rank, seen := uint64(fraction*float64(sum)), uint64(0)
	for i, n := range h.counts {
		if seen += uint64(n); n > 0 && seen >= rank {
			return time.Duration(limit(i)) * time.Microsecond
		}
	}
	return 0
}

// bucket returns the bucket of a duration in microseconds.
func bucket(us uint64) int {
	if us < subBuckets {
		return int(us)
	}
	shift := bits.Len64(us) - subBucketBits - 1
	return min(buckets-1, (shift+1)*subBuckets+int(us>>shift)-subBuckets)
}

// limit returns the longest duration of a bucket, in microseconds.
func limit(i int) uint64 {
	if i < subBuckets {
		return uint64(i)
	}
	shift := i/subBuckets - 1
	return uint64(i%subBuckets+subBuckets+1)<<shift - 1
}
