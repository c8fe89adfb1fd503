package limiter

import (
	"math"
	"time"
)

const (
	// minWindowRuns and maxWindowRuns bound the number of runs that a window
	// requires: with fewer the mean is too noisy, with more the limit reacts
	// too late.
	minWindowRuns = 32
	maxWindowRuns = 256
	// minDoublingRuns is the minimum number of runs in a window while the
	// limit doubles.
	minDoublingRuns = 8
	// minCutRuns is the minimum number of runs in a window after a cut. The
	// standard error of so few runs is uncertain, so the required z-score is
	// higher.
	minCutRuns = 4
	// maxWindow ends the window of a server with little work.
	maxWindow = time.Second
	// minLimitedFraction is the fraction of a window for which the limit has
	// to be in use before the limit is raised.
	minLimitedFraction = 0.2
	// noQueueingRatio is the ratio of recent run time to baseline below which
	// no call queues inside the backend server.
	noQueueingRatio = 1.15
	// maxGrowth is the maximum relative growth per window once queueing has
	// been seen. The growth shrinks as the run time nears the tolerance.
	maxGrowth = 0.25
	// maxInitialGrowth is the same before queueing has been seen.
	maxInitialGrowth = 1
	// minCutRatio is the ratio of the largest cut in one step.
	minCutRatio = 0.5
	// kneeFactor and kneeHeadroom above the estimated limit keep the backend
	// server busy.
	kneeFactor   = 1.2
	kneeHeadroom = 2
	// probeCutRatio is the ratio of the cut that probes the baseline.
	probeCutRatio = 0.7
	// minProbeSpacing is the minimum time between two probes, in multiples of
	// the duration of a probe.
	minProbeSpacing = 10
	// minZScore is the number of standard errors that a conclusion requires.
	minZScore = 1.5
	// windowExtension is the factor by which a window may exceed its usual
	// number of runs to reach a conclusion.
	windowExtension = 4
	// baselineWeight is the weight of the recent run time in the baseline.
	baselineWeight = 0.3
	// speedupRatio is the ratio to the run time expected from queueing below
	// which the service has become faster.
	speedupRatio = 0.8
	// spareCapacityWeight is the weight in the baseline of a run time at which
	// the backend server had spare capacity.
	spareCapacityWeight = 0.5
	// spareCapacityFraction says how far the run time must have moved from the
	// ratio expected with queueing towards 1 to show spare capacity.
	spareCapacityFraction = 0.25
	// maxTimedOutFraction is the fraction of timed-out runs above which the
	// limit is lowered whatever the baseline is. Otherwise a baseline that was
	// measured while calls queued would admit more and more of them.
	maxTimedOutFraction = 0.2
	// maxShedFraction is the fraction of runs refused by the backend server
	// itself above which the limit is lowered, and shedCutRatio the ratio of
	// that cut.
	maxShedFraction = 0.02
	shedCutRatio    = 0.9
)

// cut holds the state before the limit was lowered, so that the next window can
// distinguish queueing from a slower service.
type cut struct {
	open    bool      // the effect of the cut is not yet evaluated
	probe   bool      // the cut was made to measure the baseline
	since   time.Time // when the cut was made
	limit   float64   // limit before the cut
	active  float64   // mean number of active runs before the cut
	runTime estimate  // run time before the cut
}

// evaluateWindow ends the window and adapts the limit if the measurements
// suffice.
func (l *Limiter) evaluateWindow(now time.Time) {
	w := &l.window
	if !w.open || w.elapsed() <= 0 {
		return
	}
	runTime := w.runTime()
	runs := w.runs()
	overdue := w.elapsed() >= max(maxWindow.Seconds(), windowExtension*l.baseline.mean)
	switch {
	case runs >= l.requiredRuns() && w.elapsed() >= runTime.mean && l.conclusive(w, runTime):
		l.adapt(now, w, runTime)
	case overdue && runs >= minDoublingRuns:
		l.adapt(now, w, runTime)
	case overdue:
		l.cut = cut{}
		w.reset(0)
	}
}

// requiredRuns returns the number of runs that a window requires.
func (l *Limiter) requiredRuns() int {
	if l.cut.open {
		return minCutRuns
	}
	if l.limit < l.doublingLimit && !l.cut.open {
		return min(max(int(l.limit), minDoublingRuns), maxWindowRuns)
	}
	return min(max(int(2*l.limit), minWindowRuns), maxWindowRuns)
}

// conclusive reports whether the window after a cut distinguishes queueing from
// a slower service. Other windows are always conclusive.
func (l *Limiter) conclusive(w *window, runTime estimate) bool {
	if !l.cut.open || w.served >= windowExtension*min(max(int(2*l.limit), minWindowRuns), maxWindowRuns) {
		return true
	}
	z := runTime.zScore(l.cut.decisionRatio(w.mean()), l.cut.runTime)
	return math.Abs(z) >= minZScore*(1+minCutRuns/float64(w.served))
}

// decisionRatio returns the ratio of the run time after the cut to that before
// which separates queueing from a slower service. With queueing the ratio is
// that of the active runs, otherwise it is 1. Since the standard error grows
// with the run time, the harmonic mean of the two is equally far from both.
func (c *cut) decisionRatio(active float64) float64 {
	ratio := active / c.active
	return 2 * ratio / (1 + ratio)
}

// adapt changes the limit according to the window and starts the next one.
func (l *Limiter) adapt(now time.Time, w *window, runTime estimate) {
	mean, limited := w.mean(), w.limited()
	if l.baseline.mean == 0 && w.served > 0 {
		l.baseline = runTime
	}
	before := l.limit
	switch {
	case float64(w.timedOut) > maxTimedOutFraction*float64(w.runs()):
		l.cut = cut{}
		l.setLimit(min(l.limit, mean*minCutRatio))
		l.doublingLimit = l.limit
	case float64(w.shed) > maxShedFraction*float64(w.runs()):
		l.decreaseOnShedding(w, mean)
	case l.cut.open:
		l.evaluateCut(now, runTime, mean, limited)
	case runTime.zScore(l.tolerance, l.baseline) > l.requiredZScore() && mean >= minCutRatio*l.limit:
		l.startCut(now, max(l.kneeRatio(runTime, mean), w.conclusiveCutRatio(runTime)), runTime, mean, false)
	case limited && !now.Before(l.nextProbe):
		l.startCut(now, max(probeCutRatio, w.conclusiveCutRatio(runTime)), runTime, mean, true)
	default:
		l.increase(runTime, limited)
	}
	l.startWindow(before, runTime.mean)
}

// decreaseOnShedding lowers the limit of a server that sheds load. A server
// that sheds most of its load is faulty rather than overloaded, so its limit
// may double again up to the former value.
func (l *Limiter) decreaseOnShedding(w *window, active float64) {
	doublingLimit := max(l.doublingLimit, l.limit)
	l.cut = cut{}
	l.setLimit(min(l.limit, active*shedCutRatio))
	if w.shed < w.served {
		doublingLimit = l.limit
	}
	l.doublingLimit = doublingLimit
}

// requiredZScore returns the number of standard errors required to lower the
// limit. It is higher while the limit doubles, since the windows then have few
// runs.
func (l *Limiter) requiredZScore() float64 {
	if l.limit < l.doublingLimit {
		return 2 * minZScore
	}
	return minZScore
}

// kneeRatio returns the ratio of the mean number of active runs at which the
// backend server is just saturated. By Little's law that is the throughput times
// the baseline; the headroom grows with the square root, like the fluctuations
// of the arrivals. The cut is deep enough to distinguish queueing from a slower
// service.
func (l *Limiter) kneeRatio(runTime estimate, mean float64) float64 {
	busy := mean * l.baseline.mean / runTime.mean
	return min(max(minCutRatio, (kneeFactor*busy+kneeHeadroom*math.Sqrt(busy))/mean), probeCutRatio)
}

// startWindow starts the next window. After a change of the limit by more than
// its square root the window opens one run time later, since the runs that end
// until then were started under the former limit.
func (l *Limiter) startWindow(before, runTime float64) {
	var delay time.Duration
	if math.Abs(l.limit-before) > math.Sqrt(before) {
		delay = time.Duration(runTime * float64(time.Second))
	}
	l.window.reset(delay)
}

// startCut lowers the limit to a ratio of the active runs and stores the state
// before.
func (l *Limiter) startCut(now time.Time, ratio float64, runTime estimate, active float64, probe bool) {
	l.cut = cut{open: true, probe: probe, since: now, limit: l.limit, active: active, runTime: runTime}
	l.setLimit(min(l.limit, active*ratio))
}

// evaluateCut compares the run time after a cut with that before. If runs
// queued inside the backend server, their run time has fallen in proportion to
// the cut, and the lower limit stays. Otherwise the service itself has become
// slower: the limit is restored and the run time becomes the new baseline.
func (l *Limiter) evaluateCut(now time.Time, runTime estimate, active float64, limited bool) {
	c := l.cut
	l.cut = cut{}
	l.nextProbe = now.Add(l.probeInterval)
	ratio := active / c.active
	switch {
	case !limited || ratio > (1+probeCutRatio)/2:
		// The cut did not reduce the active runs, so there is no conclusion.
		l.setLimit(c.limit)
	case runTime.zScore(ratio*speedupRatio, c.runTime) < -minZScore || runTime.zScore(speedupRatio, l.baseline) < -minZScore:
		// The service has become faster than queueing explains.
		l.baseline = runTime
		l.setLimit(c.limit)
	case runTime.zScore(c.decisionRatio(active), c.runTime) > 0:
		l.nextProbe = now.Add(max(l.probeInterval, minProbeSpacing*now.Sub(c.since)))
		l.baseline = runTime
		l.setLimit(c.limit)
		l.doublingLimit = max(l.doublingLimit, c.limit)
	default:
		l.continueCut(now, c, runTime, active)
	}
}

// continueCut handles a cut that has shown queueing. If the throughput fell as
// well, no call queues any more and the run time updates the baseline.
// Otherwise the limit may be cut again.
func (l *Limiter) continueCut(now time.Time, c cut, runTime estimate, active float64) {
	l.queueingSeen = true
	l.doublingLimit = l.limit
	ratio := active / c.active
	spareCapacity := runTime.zScore(ratio+spareCapacityFraction*(1-ratio), c.runTime) > minZScore
	if spareCapacity {
		l.baseline = l.baseline.combine(runTime, spareCapacityWeight)
	}
	switch {
	case spareCapacity:
	case c.probe:
		l.startCut(now, probeCutRatio, runTime, active, true)
	case runTime.zScore(l.tolerance, l.baseline) > 0:
		l.startCut(now, l.kneeRatio(runTime, active), runTime, active, false)
	}
}

// increase updates the baseline, and raises a limit that is in use as far as
// the run time allows it.
func (l *Limiter) increase(runTime estimate, limited bool) {
	doubling := l.limit < l.doublingLimit && runTime.zScore(noQueueingRatio, l.baseline) < 2*minZScore
	switch {
	case runTime.zScore(1, l.baseline) < -2*minZScore:
		l.baseline = runTime
	case doubling:
		l.baseline = l.baseline.combine(runTime, l.baseline.optimalWeight(runTime))
	case !limited:
		l.baseline = l.baseline.combine(runTime, baselineWeight)
	}
	if !limited {
		return
	}
	if doubling {
		l.setLimit(min(2*l.limit, l.doublingLimit))
		return
	}
	l.doublingLimit = l.limit
	slack := (l.tolerance - runTime.mean/l.baseline.mean) / (l.tolerance - 1)
	l.setLimit(l.limit*(1+l.maxGrowth()*min(max(slack, 0), 1)) + math.Sqrt(l.limit)/2)
}

// maxGrowth returns the maximum relative growth of the limit per window.
func (l *Limiter) maxGrowth() float64 {
	if l.queueingSeen {
		return maxGrowth
	}
	return maxInitialGrowth
}

// setLimit sets the limit, clamped to its bounds.
func (l *Limiter) setLimit(limit float64) {
	l.limit = min(max(limit, minLimit), float64(l.maxInFlight))
}
