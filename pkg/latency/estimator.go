package latency

import "time"

const (
	// meanWeight and deviationWeight are the weights of one answer in the mean
	// and in the mean deviation, as in the TCP retransmission timer (RFC 6298).
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// overdueDeviations is the number of mean deviations above the mean after
	// which an answer is overdue, as in RFC 6298.
	overdueDeviations = 4
	// minSamples is the number of answers from which the estimate is used.
	minSamples = 8
	// longestInterval is the number of answers after which the longest latency is
	// sought anew.
	longestInterval = 128
)

// Estimator estimates the latency of a route. The zero value has no samples.
//
// An Estimator is not safe for concurrent use.
type Estimator struct {
	mean      float64 // ns
	deviation float64 // ns
	count     int     // number of samples, up to minSamples

	longest, previous time.Duration // in the current and in the last interval
	interval          int           // number of samples of the current interval
}

// Add adds the latency of one answer.
func (e *Estimator) Add(d time.Duration) {
	sample := float64(d)
	if e.count == 0 {
		e.mean, e.deviation = sample, sample/2
	}
	if e.count < minSamples {
		e.count++
	}
	offset := sample - e.mean
	if offset < 0 {
		offset = -offset
	}
	if e.interval == longestInterval {
		e.previous, e.longest, e.interval = e.longest, 0, 0
	}
	e.longest = max(e.longest, d)
	e.interval++
	e.deviation += deviationWeight * (offset - e.deviation)
	e.mean += meanWeight * (sample - e.mean)
}

// Mean returns the mean latency, or 0 with fewer than 8 samples.
func (e *Estimator) Mean() time.Duration {
	if e.count < minSamples {
		return 0
	}
	return time.Duration(e.mean)
}

// OverdueAfter returns the time after which an answer is overdue, or 0 with
// fewer than 8 samples.
func (e *Estimator) OverdueAfter() time.Duration {
	if e.count < minSamples {
		return 0
	}
	return time.Duration(e.mean + overdueDeviations*e.deviation)
}

// Tail returns a time that the latency seldom exceeds: the longest of the latest 128
// answers or more, or OverdueAfter if that is longer. It is 0 without samples.
func (e *Estimator) Tail() time.Duration {
	return max(e.longest, e.previous, e.OverdueAfter())
}
