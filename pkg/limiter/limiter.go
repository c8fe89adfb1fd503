package limiter

import (
	"math"
	"time"
)

const (
	// coldLimit is the limit of a server that nothing is known of.
	coldLimit = 4
	// minLimit keeps a server in use whatever its run times are.
	minLimit = 1
	// defaultTolerance is the ratio of recent to best run time above which
	// calls are taken to wait inside the backend server.
	defaultTolerance = 2
	// defaultProbe is the time between two checks of the best run time while
	// the limit is in use.
	defaultProbe = 10 * time.Second
)

// Result says how a run ended, as far as the limit is concerned.
type Result uint8

// Results of a run.
const (
	Served   Result = iota // the backend server answered
	TimedOut               // its time was up before the backend server answered
	Shed                   // the backend server refused the run by itself
	Aborted                // the run was ended from outside
)

// Limiter is the learned concurrency limit of a backend server. It applies to
// active runs, which are those that do not wait for other services. Runs that
// wait count only against the ceiling, the number of slots that the backend
// server announced.
//
// What is measured are the times for which runs are active without a break. A
// run that calls other services gives several such times, each of them as soon
// as it is over; the run time as a whole would show a change of the backend
// server only after the other services have answered.
type Limiter struct {
	tolerance float64
	probe     time.Duration
	ceiling   int
	limit     float64
	active    int
	waiting   int
	best      estimate // run time without queueing; zero if not known
	target    float64  // limit up to which growth doubles it
	found     bool     // the backend server was seen to queue calls
	cut       cut
	check     time.Time // when best has to be checked again
	window    window
}

// Option changes a default of New.
type Option func(*Limiter)

// WithTolerance sets the ratio of recent to best run time that is accepted;
// above 1.
func WithTolerance(ratio float64) Option { return func(l *Limiter) { l.tolerance = ratio } }

// WithProbeInterval sets the time between checks of the best run time.
func WithProbeInterval(d time.Duration) Option { return func(l *Limiter) { l.probe = d } }

// New returns a limiter. Reset starts it when the server is there.
func New(options ...Option) *Limiter {
	l := &Limiter{tolerance: defaultTolerance, probe: defaultProbe, ceiling: math.MaxInt32}
	for _, o := range options {
		o(l)
	}
	l.Reset(time.Time{})
	return l
}

// Reset forgets what was learned, since a new server has taken over. Nothing
// may be in flight.
func (l *Limiter) Reset(now time.Time) {
	l.limit, l.best, l.target = coldLimit, estimate{}, math.MaxInt32
	l.active, l.waiting = 0, 0
	l.found, l.cut, l.check = false, cut{}, now.Add(l.probe)
	l.window = window{}
}

// SetMaxInFlight sets the most calls that may be in flight; at least 1.
func (l *Limiter) SetMaxInFlight(n int) {
	l.ceiling = n
	l.limit = min(l.limit, float64(n))
}

// Allows reports whether one more run may start.
func (l *Limiter) Allows() bool {
	return l.active < int(l.limit) && l.active+l.waiting < l.ceiling
}

// Limit returns how many calls may be in flight, waiting ones included.
func (l *Limiter) Limit() int { return min(l.ceiling, int(l.limit)+l.waiting) }

// InFlight returns the number of runs.
func (l *Limiter) InFlight() int { return l.active + l.waiting }

// Active returns the number of runs that do not wait for other services.
func (l *Limiter) Active() int { return l.active }

// Begin records the start of a run.
func (l *Limiter) Begin(now time.Time) {
	l.advance(now)
	l.active++
}

// Pause records that a run waits for another service, after it was active for
// the time d.
func (l *Limiter) Pause(now time.Time, d time.Duration) {
	l.advance(now)
	l.active--
	l.waiting++
	l.window.end(Served, d)
	l.review(now)
}

// Resume records that a run no longer waits.
func (l *Limiter) Resume(now time.Time) {
	l.advance(now)
	l.active++
	l.waiting--
}

// End records the end of an active run, which was active for the time d since
// Begin or Resume.
func (l *Limiter) End(now time.Time, result Result, d time.Duration) {
	l.advance(now)
	l.active--
	l.window.end(result, d)
	l.review(now)
}

// EndWaiting records the end of a run that waits for another service.
func (l *Limiter) EndWaiting() { l.waiting-- }

// Tick adapts the limit when no run starts or ends.
func (l *Limiter) Tick(now time.Time) {
	l.advance(now)
	l.review(now)
}

// advance accounts for the time since the last event.
func (l *Limiter) advance(now time.Time) {
	if l.window.settling(now, l.active, int(l.limit)) {
		return
	}
	l.window.advance(now, l.active, l.active >= int(l.limit))
}
