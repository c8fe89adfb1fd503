package balancer

import "time"

// windowTime is the length of one half of the window of fastest answers.
const windowTime = 500 * time.Millisecond

// Window keeps the smallest of the samples of the last half second to second.
type Window struct {
	current  time.Duration
	previous time.Duration
	start    time.Time
}

// Add adds a sample.
func (w *Window) Add(now time.Time, sample time.Duration) {
	w.turn(now)
	if w.current == 0 || sample < w.current {
		w.current = sample
	}
}

// Least returns the smallest recent sample, or 0 if there is none.
func (w *Window) Least(now time.Time) time.Duration {
	w.turn(now)
	if w.current == 0 || (w.previous != 0 && w.previous < w.current) {
		return w.previous
	}
	return w.current
}

func (w *Window) turn(now time.Time) {
	age := now.Sub(w.start)
	switch {
	case age < windowTime:
		return
	case age < 2*windowTime:
		w.previous = w.current
	default:
		w.previous = 0
	}
	w.current = 0
	w.start = now
}
