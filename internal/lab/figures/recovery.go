package figures

import (
	"slices"
	"time"

	"github.com/papayapath/papayapath/internal/lab/history"
)

const (
	// recoveredShare and recoveryHold define recovery as in section 11 of the
	// design: goodput reaches this fraction of the steady phase and stays
	// there for this long.
	recoveredShare = 0.95
	recoveryHold   = 5 * time.Second
	// goodputWindow is the interval over which goodput is averaged.
	goodputWindow = 500 * time.Millisecond
)

// recovery returns the seconds from the end of the disturbance to the moment
// from which goodput stays at or above 95% of the steady phase for 5 s.
//
// Goodput here is the fraction of the requests arriving in a window that get
// a complete response within one deadline. A rate per second would vary by
// more than 5% through random arrivals alone. Recovery is the moment at which
// 95% of the requests that arrived at the start of the first good window have
// been answered, less the latency of the steady phase.
func recovery(requests []history.Request, phases PhaseTimes) (seconds float64, recovered bool) {
	observed := phases.End.Sub(phases.Recovery)
	steady := newCohort(requests, phases.Steady, phases.Disturbance)
	if steady.share() == 0 {
		return observed.Seconds(), false
	}
	first := newCohort(requests, phases.Recovery, phases.Recovery.Add(goodputWindow))
	start := phases.Recovery
	for from := phases.Recovery; !from.Add(goodputWindow).After(phases.End); from = from.Add(SampleInterval) {
		current := newCohort(requests, from, from.Add(goodputWindow))
		if current.count > 0 && current.share() < recoveredShare*steady.share() {
			start = from.Add(SampleInterval)
			first = newCohort(requests, start, start.Add(goodputWindow))
			continue
		}
		if !from.Add(goodputWindow).Before(start.Add(recoveryHold)) {
			lag := max(0, first.latency(recoveredShare)-steady.latency(recoveredShare))
			return (start.Sub(phases.Recovery) + lag).Seconds(), true
		}
	}
	return observed.Seconds(), false
}

// cohort is the set of requests that arrived in an interval.
type cohort struct {
	count     int
	latencies []time.Duration // of the requests answered within the deadline, ascending
}

// newCohort returns the requests that arrived in [from, to).
func newCohort(requests []history.Request, from, to time.Time) cohort {
	var c cohort
	for _, r := range requests {
		if r.Arrived.Before(from) || !r.Arrived.Before(to) {
			continue
		}
		c.count++
		if r.InTime() {
			c.latencies = append(c.latencies, r.Latency())
		}
	}
	slices.Sort(c.latencies)
	return c
}

// share returns the fraction of the cohort answered within the deadline.
func (c cohort) share() float64 {
	if c.count == 0 {
		return 0
	}
	return float64(len(c.latencies)) / float64(c.count)
}

// latency returns a quantile of the latency, or 0 if nothing was answered.
func (c cohort) latency(quantile float64) time.Duration {
	if len(c.latencies) == 0 {
		return 0
	}
	return c.latencies[int(quantile*float64(len(c.latencies)-1))]
}
