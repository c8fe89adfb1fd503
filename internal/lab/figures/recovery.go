package figures

import (
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

// recovery returns the seconds from the end of the disturbance to the first
// moment from which each window for 5 s has 95% of the goodput before.
//
// Goodput is taken here as the share of the requests arriving in a window
// that get their whole answer within one time limit. Counted per second it
// would vary by more than 5% with the random arrivals alone.
func recovery(requests []history.Request, p Phases) (seconds float64, ok bool) {
	watched := p.End.Sub(p.Recovery).Seconds()
	normal, _ := served(requests, p.Steady, p.Disturbance)
	if normal == 0 {
		return watched, false
	}
	start := p.Recovery
	for from := p.Recovery; !from.Add(window).After(p.End); from = from.Add(Step) {
		share, arrivals := served(requests, from, from.Add(window))
		if arrivals && share < recovered*normal {
			start = from.Add(Step)
			continue
		}
		if !from.Add(window).Before(start.Add(hold)) {
			return start.Sub(p.Recovery).Seconds(), true
		}
	}
	return watched, false
}

// served returns the share of the requests arriving between two times that
// were answered in time, and false if none arrived.
func served(requests []history.Request, from, to time.Time) (share float64, arrivals bool) {
	arrived, inTime := 0, 0
	for _, r := range requests {
		if r.Arrived.Before(from) || !r.Arrived.Before(to) {
			continue
		}
		arrived++
		if r.InTime() {
			inTime++
		}
	}
	if arrived == 0 {
		return 0, false
	}
	return float64(inTime) / float64(arrived), true
}
