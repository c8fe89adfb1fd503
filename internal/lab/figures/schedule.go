package figures

import "time"

// Schedule says how long the phases of an experiment last.
type Schedule struct {
	WarmUp      time.Duration // not measured
	Steady      time.Duration
	Disturbance time.Duration
	Recovery    time.Duration
}

// DefaultSchedule leaves room for 3 s of recovery and for the 5 s for which
// it must hold.
func DefaultSchedule() Schedule {
	return Schedule{
		WarmUp:      2 * time.Second,
		Steady:      3 * time.Second,
		Disturbance: 4 * time.Second,
		Recovery:    8 * time.Second,
	}
}

// Total returns the time from the first request to the last.
func (t Schedule) Total() time.Duration { return t.WarmUp + t.Steady + t.Disturbance + t.Recovery }

// PhaseTimes are the times at which the phases of one experiment began.
type PhaseTimes struct {
	WarmUp      time.Time
	Steady      time.Time
	Disturbance time.Time
	Recovery    time.Time
	End         time.Time // no request arrived later
}
