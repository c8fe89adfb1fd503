package limiter

import "time"

// Result says how a run ended, as far as the limit is concerned.
type Result uint8

// Results of a run.
const (
	Served  Result = iota // the backend server answered, or its time was up
	Shed                  // the backend server refused the run by itself
	Aborted               // the run was ended from outside
)

// Limiter is the learned concurrency limit of a backend server.
type Limiter struct {
	ceiling int
	limit   float64
	active  int
	waiting int
}

// New returns the limiter of a server that nothing is known of.
func New() *Limiter { return &Limiter{limit: 64} }

// Reset forgets what was learned, since a new server has taken over.
func (l *Limiter) Reset(time.Time) { *l = Limiter{limit: 64, ceiling: l.ceiling} }

// SetCeiling sets the most calls that may be in flight.
func (l *Limiter) SetCeiling(n int) { l.ceiling = n }

// Allows reports whether one more run may start.
func (l *Limiter) Allows() bool { return l.InFlight() < l.Limit() }

// Limit returns how many calls may be in flight.
func (l *Limiter) Limit() int { return min(l.ceiling, int(l.limit)+l.waiting) }

// InFlight returns the number of runs.
func (l *Limiter) InFlight() int { return l.active + l.waiting }

// Begin records the start of a run.
func (l *Limiter) Begin(time.Time) { l.active++ }

// Pause records that a run waits for another service.
func (l *Limiter) Pause(time.Time) { l.active--; l.waiting++ }

// Resume records that a run no longer waits.
func (l *Limiter) Resume(time.Time) { l.active++; l.waiting-- }

// End records the end of a run, which did not wait, with the time that it
// spent other than waiting.
func (l *Limiter) End(time.Time, Result, time.Duration) { l.active-- }

// Tick adapts the limit when no run starts or ends.
func (l *Limiter) Tick(time.Time) {}
