package limiter

import (
	"math"
	"time"
)

const (
	// initialLimit is the limit of a server without any measurement.
	initialLimit = 4
	// minLimit keeps a server in use whatever its run times are.
	minLimit = 1
	// defaultTolerance is the ratio of recent run time to baseline above which
	// calls are assumed to queue inside the backend server.
	defaultTolerance = 2
	// defaultProbeInterval is the time between two probes of the baseline
	// while the limit is in use.
	defaultProbeInterval = 10 * time.Second
)

// Result classifies the end of a run for the purpose of the limit.
type Result uint8

// Results of a run.
const (
	Served   Result = iota // the backend server answered
	TimedOut               // the deadline passed before the backend server answered
	Shed                   // the backend server itself refused the run
	Aborted                // the run was canceled from outside
)

// Limiter is the adaptive concurrency limit of a backend server. It applies to
// active runs, which are those that do not wait for other services. Waiting
// runs count only against the maximum in flight, the number of slots that the
// backend server announced.
//
// The measured run time is an uninterrupted period for which a run is active. A
// run that calls other services yields several such measurements, each of them
// as soon as the period ends; the total run time would show a change of the
// backend server only after the other services have answered.
type Limiter struct {
	tolerance     float64
	probeInterval time.Duration
	maxInFlight   int
	limit         float64
	active        int
	waiting       int
	baseline      estimate // run time without queueing; zero if unknown
	doublingLimit float64  // the limit doubles while it is below this value
	queueingSeen  bool     // a cut has shown queueing in the backend server
	cut           cut
	nextProbe     time.Time // earliest time of the next baseline probe
	window        window
}

// Option changes a default of New.
type Option func(*Limiter)

// WithTolerance sets the accepted ratio of recent run time to baseline, which
// must be above 1.
func WithTolerance(ratio float64) Option { return func(l *Limiter) { l.tolerance = ratio } }

// WithProbeInterval sets the time between probes of the baseline.
func WithProbeInterval(d time.Duration) Option { return func(l *Limiter) { l.probeInterval = d } }

// New returns a limiter. Call Reset when the server becomes available.
func New(options ...Option) *Limiter {
	l := &Limiter{tolerance: defaultTolerance, probeInterval: defaultProbeInterval, maxInFlight: math.MaxInt32}
	for _, o := range options {
		o(l)
	}
	l.Reset(time.Time{})
	return l
}

// Reset discards all measurements when a new server takes over. No call may be
// in flight.
func (l *Limiter) Reset(now time.Time) {
	l.limit, l.baseline, l.doublingLimit = initialLimit, estimate{}, math.MaxInt32
	l.active, l.waiting = 0, 0
	l.queueingSeen, l.cut, l.nextProbe = false, cut{}, now.Add(l.probeInterval)
	l.window = window{}
}

// SetMaxInFlight sets the maximum number of calls in flight; at least 1.
func (l *Limiter) SetMaxInFlight(n int) {
	l.maxInFlight = n
	l.limit = min(l.limit, float64(n))
}

// Allows reports whether one more run may start.
func (l *Limiter) Allows() bool {
	return l.active < int(l.limit) && l.active+l.waiting < l.maxInFlight
}

// Limit returns how many calls may be in flight, including waiting ones.
func (l *Limiter) Limit() int { return min(l.maxInFlight, int(l.limit)+l.waiting) }

// InFlight returns the number of runs, active and waiting.
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
	l.window.record(Served, d)
	l.evaluateWindow(now)
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
	l.window.record(result, d)
	l.evaluateWindow(now)
}

// EndWaiting records the end of a run that waits for another service.
func (l *Limiter) EndWaiting() { l.waiting-- }

// Tick adapts the limit when no run starts or ends.
func (l *Limiter) Tick(now time.Time) {
	l.advance(now)
	l.evaluateWindow(now)
}

// advance accounts for the time since the last event.
func (l *Limiter) advance(now time.Time) {
	if l.window.delayed(now, l.active, int(l.limit)) {
		return
	}
	l.window.advance(now, l.active, l.active >= int(l.limit))
}
