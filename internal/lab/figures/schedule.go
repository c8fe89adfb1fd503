package figures

import "time"

// Schedule holds the durations of the phases of an experiment.
type Schedule struct {
	WarmUp      time.Duration // excluded from the result
	Steady      time.Duration
	Disturbance time.Duration
	Recovery    time.Duration
}

// DefaultSchedule leaves time for 3 s of recovery and the 5 s for which it must
// hold.
func DefaultSchedule() Schedule {
	return Schedule{
		WarmUp:      2 * time.Second,
		Steady:      3 * time.Second,
		Disturbance: 4 * time.Second,
		Recovery:    8 * time.Second,
	}
}

// Total returns the duration of all phases.
func (s Schedule) Total() time.Duration { return s.WarmUp + s.Steady + s.Disturbance + s.Recovery }

// PhaseTimes holds the start times of the phases of an experiment.
type PhaseTimes struct {
	WarmUp      time.Time
	Steady      time.Time
	Disturbance time.Time
	Recovery    time.Time
	End         time.Time // no request arrives after it
}
