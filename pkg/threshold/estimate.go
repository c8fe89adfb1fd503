package threshold

import (
	"time"

	"github.com/papayapath/papayapath/pkg/priority"
)

const (
	// hold is the age up to which a threshold is taken as told. Servers adapt
	// it every 50 ms, so it covers two steps.
	hold = 100 * time.Millisecond
	// end is the age from which a threshold holds back no call. Between the
	// two it falls in a straight line, so that a trickle of calls, the most
	// important first, finds out whether it still stands.
	end = 500 * time.Millisecond
)

// Estimate is a threshold as it was last told. It loses its force with age, so
// that a threshold which has fallen is noticed. The zero Estimate holds back no
// call.
type Estimate struct {
	value priority.Priority
	told  time.Time
	held  time.Time // start of the loss of force
}

// Update sets the threshold to the value told at now.
func (e *Estimate) Update(now time.Time, value priority.Priority) {
	e.value, e.told, e.held = value, now, now
}

// MarkProbe notes that a call was sent in spite of the threshold, whose answer will
// tell it anew. The loss of force starts again, so that one call and not all
// of them find out.
func (e *Estimate) MarkProbe(now time.Time) { e.held = now }

// LastUpdate returns the threshold as it was told, and when. The time is zero if it
// never was.
func (e *Estimate) LastUpdate() (priority.Priority, time.Time) { return e.value, e.told }

// At returns the threshold with the force that it has at now.
func (e *Estimate) At(now time.Time) priority.Priority {
	if e.value == 0 {
		return 0
	}
	age := now.Sub(e.held)
	switch {
	case age <= hold:
		return e.value
	case age >= end:
		return 0
	}
	left := float64(end-age) / float64(end-hold)
	return priority.Priority(float64(e.value) * left)
}

// Admits reports whether a call of priority p may be sent at now.
func (e *Estimate) Admits(now time.Time, p priority.Priority) bool { return p >= e.At(now) }
