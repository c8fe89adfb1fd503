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
)

// Estimator estimates the latency of a route. The zero value has no samples.
//
// An Estimator is not safe for concurrent use.
type Estimator struct {
	mean      float64 // ns
	deviation float64 // ns
	count     int     // number of samples, up to minSamples
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
