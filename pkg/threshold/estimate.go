package threshold

import (
	"time"

	"github.com/papayapath/papayapath/pkg/priority"
)

const (
	// decayStart is the age up to which a reported threshold applies in full.
	// Servers adapt it every 50 ms, so it covers two adaptations.
	decayStart = 100 * time.Millisecond
	// decayEnd is the age from which a threshold holds back no call. Between
	// the two ages it decays linearly, so that a few calls, the most important
	// first, probe whether the server still applies it.
	decayEnd = 500 * time.Millisecond
)

// Estimate is the last threshold reported by a server. It decays with age, so
// that a lower threshold of the server is noticed. The zero Estimate holds back
// no call.
type Estimate struct {
	value     priority.Priority
	updated   time.Time
	decayFrom time.Time // time from which the age is counted
}

// Update sets the threshold to the value reported at now.
func (e *Estimate) Update(now time.Time, value priority.Priority) {
	e.value, e.updated, e.decayFrom = value, now, now
}

// MarkProbe records that a call below the reported threshold was sent. Its
// answer will report the threshold again. The decay restarts, so that a single
// call probes the server rather than all of them.
func (e *Estimate) MarkProbe(now time.Time) { e.decayFrom = now }

// LastUpdate returns the reported threshold without decay and the time of the
// report, which is zero if there was none.
func (e *Estimate) LastUpdate() (priority.Priority, time.Time) { return e.value, e.updated }

// At returns the threshold after its decay up to now.
func (e *Estimate) At(now time.Time) priority.Priority {
	if e.value == 0 {
		return 0
	}
	age := now.Sub(e.decayFrom)
	switch {
	case age <= decayStart:
		return e.value
	case age >= decayEnd:
		return 0
	}
	remaining := float64(decayEnd-age) / float64(decayEnd-decayStart)
	return priority.Priority(float64(e.value) * remaining)
}

// Admits reports whether a call of priority p may be sent at now.
func (e *Estimate) Admits(now time.Time, p priority.Priority) bool { return p >= e.At(now) }
