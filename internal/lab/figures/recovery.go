package figures

import (
	"slices"
	"time"

	"github.com/papayapath/papayapath/internal/lab/history"
)

const (
	// recovered is the share of the goodput before the disturbance at which
	// the system counts as recovered, and hold how long it must last
	// (section 11 of the design).
	recovered = 0.95
	hold      = 5 * time.Second
	// window is the time over which goodput is averaged for the recovery.
	window = 500 * time.Millisecond
)

// recovery returns the seconds from the end of the disturbance to the moment
// from which 95% of the goodput before is reached for 5 s.
//
// Goodput is taken here as the share of the requests arriving in a window
// that get their whole answer within one time limit. Counted per second it
// would vary by more than 5% with the random arrivals alone. The moment is
// the one at which 95% of the requests that arrived at the start of the first
// good window have had their answers, less the normal delay.
func recovery(requests []history.Request, p Phases) (seconds float64, ok bool) {
	watched := p.End.Sub(p.Recovery)
	normal := arrivals(requests, p.Steady, p.Disturbance)
	if normal.share() == 0 {
		return watched.Seconds(), false
	}
	first := arrivals(requests, p.Recovery, p.Recovery.Add(window))
	start := p.Recovery
	for from := p.Recovery; !from.Add(window).After(p.End); from = from.Add(Step) {
		b := arrivals(requests, from, from.Add(window))
		if b.count > 0 && b.share() < recovered*normal.share() {
			start = from.Add(Step)
			first = arrivals(requests, start, start.Add(window))
			continue
		}
		if !from.Add(window).Before(start.Add(hold)) {
			lag := max(0, first.delay(recovered)-normal.delay(recovered))
			return (start.Sub(p.Recovery) + lag).Seconds(), true
		}
	}
	return watched.Seconds(), false
}

// batch is the requests that arrived between two times.
type batch struct {
	count  int
	delays []time.Duration // of those answered in time, sorted
}

// arrivals returns the batch of requests between two times.
func arrivals(requests []history.Request, from, to time.Time) batch {
	var b batch
	for _, r := range requests {
		if r.Arrived.Before(from) || !r.Arrived.Before(to) {
			continue
		}
		b.count++
		if r.InTime() {
			b.delays = append(b.delays, r.Latency())
		}
	}
	slices.Sort(b.delays)
	return b
}

// share returns the part of the batch that was answered in time.
func (b batch) share() float64 {
	if b.count == 0 {
		return 0
	}
	return float64(len(b.delays)) / float64(b.count)
}

// delay returns the time within which a part of the answers came.
func (b batch) delay(part float64) time.Duration {
	if len(b.delays) == 0 {
		return 0
	}
	return b.delays[int(part*float64(len(b.delays)-1))]
}
