package latency

import "time"

const (
	// weight is the part of one answer in the mean, and spreadWeight that in
	// the mean deviation, as in the retransmission timer of TCP (RFC 6298).
	weight       = 1.0 / 8
	spreadWeight = 1.0 / 4
	// deviations is the number of mean deviations after which an answer is
	// overdue, as in RFC 6298.
	deviations = 4
	// least is the number of answers from which on the estimate is used.
	least = 8
)

// Estimator follows the latency of a route. The zero value knows nothing. It is
// not safe for concurrent use.
type Estimator struct {
	mean      float64
	deviation float64
	count     int
}

// Add records the latency of an answer.
func (e *Estimator) Add(d time.Duration) {
	v := float64(d)
	if e.count == 0 {
		e.mean, e.deviation = v, v/2
	}
	if e.count < least {
		e.count++
	}
	off := v - e.mean
	if off < 0 {
		off = -off
	}
	e.deviation += spreadWeight * (off - e.deviation)
	e.mean += weight * (v - e.mean)
}

// Mean returns the mean latency, or 0 if too little is known.
func (e *Estimator) Mean() time.Duration {
	if e.count < least {
		return 0
	}
	return time.Duration(e.mean)
}

// OverdueAfter returns the time after which an answer is unlikely to come, or 0 if
// too little is known.
func (e *Estimator) OverdueAfter() time.Duration {
	if e.count < least {
		return 0
	}
	return time.Duration(e.mean + deviations*e.deviation)
}
