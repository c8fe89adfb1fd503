package figures

import "time"

// Timeline says how long the phases of an experiment last.
type Timeline struct {
	Warm        time.Duration // not measured
	Steady      time.Duration
	Disturbance time.Duration
	Recovery    time.Duration
}

// DefaultTimeline leaves room for 3 s of recovery and for the 5 s for which
// it must hold.
func DefaultTimeline() Timeline {
	return Timeline{
		Warm:        2 * time.Second,
		Steady:      3 * time.Second,
		Disturbance: 4 * time.Second,
		Recovery:    8 * time.Second,
	}
}

// Total returns the time from the first request to the last.
func (t Timeline) Total() time.Duration { return t.Warm + t.Steady + t.Disturbance + t.Recovery }

// Phases are the times at which the phases of one experiment began.
type Phases struct {
	Warm        time.Time
	Steady      time.Time
	Disturbance time.Time
	Recovery    time.Time
	End         time.Time // no request arrived later
}
