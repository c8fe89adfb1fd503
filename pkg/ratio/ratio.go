package ratio

import (
	"math"
	"time"
)

// Ratio counts events with a weight that falls exponentially with their age.
//
// A Ratio is not safe for concurrent use. Create it with New.
type Ratio struct {
	memory    time.Duration // in which the weight of an event falls to 1/e
	events    float64
	successes float64
	updated   time.Time
}

// New returns a ratio without events. The weight of an event falls to 1/e in memory.
func New(memory time.Duration) *Ratio { return &Ratio{memory: memory} }

// Add counts an event.
func (r *Ratio) Add(now time.Time, success bool) {
	r.decay(now)
	r.events++
	if success {
		r.successes++
	}
}

// Revoke turns a success that was counted at a time into a failure.
func (r *Ratio) Revoke(now, counted time.Time) {
	r.decay(now)
	age := max(0, r.updated.Sub(counted))
	r.successes = max(0, r.successes-math.Exp(-age.Seconds()/r.memory.Seconds()))
}

// Events returns the weight of all events.
func (r *Ratio) Events(now time.Time) float64 {
	r.decay(now)
	return r.events
}

// Successes returns the weight of the successes.
func (r *Ratio) Successes(now time.Time) float64 {
	r.decay(now)
	return r.successes
}

// Fraction returns which part of the events were successes, or 1 without any event.
func (r *Ratio) Fraction(now time.Time) float64 {
	r.decay(now)
	if r.events == 0 {
		return 1
	}
	return r.successes / r.events
}

// decay reduces the weight of the events so far to that at now.
func (r *Ratio) decay(now time.Time) {
	if elapsed := now.Sub(r.updated); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / r.memory.Seconds())
		r.events *= factor
		r.successes *= factor
		r.updated = now
	}
}
