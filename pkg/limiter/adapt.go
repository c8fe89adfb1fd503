package limiter

import (
	"math"
	"time"
)

const (
	// minServed and maxServed bound the runs that a window needs: with fewer
	// the mean is too noisy, with more the limit reacts too late.
	minServed = 32
	maxServed = 256
	// firstServed is the least number of runs while the limit doubles.
	firstServed = 8
	// leastServed is the least number of runs after a cut. The standard error
	// of so few is uncertain, so they need more evidence.
	leastServed = 4
	// longestWindow ends a window of a server with little work.
	longestWindow = time.Second
	// limitedShare is the part of a window for which the limit has to be in
	// use for the window to be a reason to raise it.
	limitedShare = 0.2
	// flat is the ratio of recent to best run time below which nothing waits
	// inside the backend server.
	flat = 1.15
	// stride is the greatest growth per window of a limit that was found
	// before. It shrinks as the run time nears the tolerance.
	stride = 0.25
	// firstStride is the same before the backend server was seen to queue.
	firstStride = 1
	// deepest is the largest cut in one step, as a ratio.
	deepest = 0.5
	// margin and headroom above the estimated limit keep the backend server
	// busy.
	margin   = 1.2
	headroom = 2
	// probeCut is the depth of the cut that checks the best run time.
	probeCut = 0.7
	// probeCost is the least time between two such checks, in lengths of one.
	probeCost = 10
	// evidence is the number of standard errors that a conclusion needs.
	evidence = 1.5
	// patience is how many times the usual number of runs a window may take
	// to reach a conclusion.
	patience = 4
	// drift is the weight of the recent run time in the best one.
	drift = 0.3
	// quicker is the ratio to the run time that queueing explains below which
	// the service has become faster.
	quicker = 0.8
	// bend is the weight of a run time at which the backend server was seen
	// to have room left.
	bend = 0.5
	// spare is the part of the way from queueing to idleness that a run time
	// has to have gone for that.
	spare = 0.25
	// lateShare is the part of runs whose time was up that lowers the limit
	// whatever the best run time is. It stops a best run time that was taken
	// while calls queued from letting more and more of them in.
	lateShare = 0.2
	// shedShare is the part of runs refused by the backend server itself
	// that lowers the limit, and shedCut by how much.
	shedShare = 0.02
	shedCut   = 0.9
)

// cut remembers the state before the limit was lowered, so that the next
// window can tell queueing from a slower service.
type cut struct {
	open  bool
	probe bool      // the cut was made to measure the best run time
	since time.Time // when the first cut of a series was made
	limit float64   // limit before
	mean  float64   // active runs before
	run   estimate  // run time before
}

// review ends the window if it says enough.
func (l *Limiter) review(now time.Time) {
	w := &l.window
	if !w.open || w.elapsed() <= 0 {
		return
	}
	run := w.run()
	ended := w.ended()
	late := w.elapsed() >= max(longestWindow.Seconds(), patience*l.best.mean)
	switch {
	case ended >= l.needed() && w.elapsed() >= run.mean && l.conclusive(w, run):
		l.judge(now, w, run)
	case late && ended >= firstServed:
		l.judge(now, w, run)
	case late:
		l.cut = cut{}
		w.reset(0)
	}
}

// needed returns how many runs a window needs.
func (l *Limiter) needed() int {
	if l.cut.open {
		return leastServed
	}
	if l.limit < l.target && !l.cut.open {
		return min(max(int(l.limit), firstServed), maxServed)
	}
	return min(max(int(2*l.limit), minServed), maxServed)
}

// conclusive reports whether the window tells queueing from a slower service,
// if that is the question.
func (l *Limiter) conclusive(w *window, run estimate) bool {
	if !l.cut.open || w.served >= patience*min(max(int(2*l.limit), minServed), maxServed) {
		return true
	}
	z := run.above(l.cut.split(w.mean()), l.cut.run)
	return math.Abs(z) >= evidence*(1+leastServed/float64(w.served))
}

// split returns the ratio of the run time after the cut to that before which
// separates queueing from a slower service. With queueing the ratio is that of
// the active runs, else it is 1; the standard error grows with the run time,
// so the harmonic mean of the two is equally far from both.
func (c *cut) split(mean float64) float64 {
	ratio := mean / c.mean
	return 2 * ratio / (1 + ratio)
}

// judge changes the limit according to the window.
func (l *Limiter) judge(now time.Time, w *window, run estimate) {
	mean, limited := w.mean(), w.limited()
	if l.best.mean == 0 && w.served > 0 {
		l.best = run
	}
	before := l.limit
	switch {
	case float64(w.late) > lateShare*float64(w.ended()):
		l.cut = cut{}
		l.set(min(l.limit, mean*deepest))
		l.target = l.limit
	case float64(w.shed) > shedShare*float64(w.ended()):
		l.shrink(w, mean)
	case l.cut.open:
		l.verify(now, run, mean, limited)
	case run.above(l.tolerance, l.best) > l.doubt() && mean >= deepest*l.limit:
		l.lower(now, max(l.knee(run, mean), w.shallow(run)), run, mean, false)
	case limited && !now.Before(l.check):
		l.lower(now, max(probeCut, w.shallow(run)), run, mean, true)
	default:
		l.follow(run, limited)
	}
	l.settle(before, run.mean)
}

// shrink lowers the limit of a server that sheds load. One that sheds most of
// it is out of order and not too busy, so its limit is found again quickly.
func (l *Limiter) shrink(w *window, mean float64) {
	target := max(l.target, l.limit)
	l.cut = cut{}
	l.set(min(l.limit, mean*shedCut))
	if w.shed < w.served {
		target = l.limit
	}
	l.target = target
}

// doubt returns the evidence that it takes to lower the limit. The few runs
// with which the limit starts to double are a weak basis.
func (l *Limiter) doubt() float64 {
	if l.limit < l.target {
		return 2 * evidence
	}
	return evidence
}

// knee returns the ratio of the active runs at which the backend server is just
// busy. By Little's law that is the rate times the best run time; the margin
// grows with the square root, like the fluctuations of the arrivals. The cut is
// deep enough to tell queueing from a slower service.
func (l *Limiter) knee(run estimate, mean float64) float64 {
	busy := mean * l.best.mean / run.mean
	return min(max(deepest, (margin*busy+headroom*math.Sqrt(busy))/mean), probeCut)
}

// settle starts the next window. After a step, the runs that end still show
// the former limit for one run time.
func (l *Limiter) settle(before, run float64) {
	var wait time.Duration
	if math.Abs(l.limit-before) > math.Sqrt(before) {
		wait = time.Duration(run * float64(time.Second))
	}
	l.window.reset(wait)
}

// lower cuts the limit to a ratio of the active runs, and keeps the state
// before.
func (l *Limiter) lower(now time.Time, ratio float64, run estimate, mean float64, probe bool) {
	l.cut = cut{open: true, probe: probe, since: now, limit: l.limit, mean: mean, run: run}
	l.set(min(l.limit, mean*ratio))
}

// verify compares the run time after a cut with that before. Runs that waited
// inside the backend server have become shorter in proportion to the cut, and
// the lower limit stays. Otherwise the service itself has become slower: the
// limit is restored and the run time becomes the new best.
func (l *Limiter) verify(now time.Time, run estimate, mean float64, limited bool) {
	c := l.cut
	l.cut = cut{}
	l.check = now.Add(l.probe)
	ratio := mean / c.mean
	switch {
	case !limited || ratio > (1+probeCut)/2:
		// The limit was not what changed, so there is no conclusion.
		l.set(c.limit)
	case run.above(ratio*quicker, c.run) < -evidence || run.above(quicker, l.best) < -evidence:
		// The service has become faster than queueing explains.
		l.best = run
		l.set(c.limit)
	case run.above(c.split(mean), c.run) > 0:
		l.check = now.Add(max(l.probe, probeCost*now.Sub(c.since)))
		l.best = run
		l.set(c.limit)
		l.target = max(l.target, c.limit)
	default:
		l.queued(now, c, run, mean)
	}
}

// queued carries on after a cut that has shown queueing. If fewer runs ended
// than before the cut, nothing waits any more and the run time is the best.
func (l *Limiter) queued(now time.Time, c cut, run estimate, mean float64) {
	l.found = true
	l.target = l.limit
	ratio := mean / c.mean
	idle := run.above(ratio+spare*(1-ratio), c.run) > evidence
	if idle {
		l.best = l.best.pool(run, bend)
	}
	switch {
	case idle:
	case c.probe:
		l.lower(now, probeCut, run, mean, true)
	case run.above(l.tolerance, l.best) > 0:
		l.lower(now, l.knee(run, mean), run, mean, false)
	}
}

// follow raises a limit that is in use while run times allow it, and keeps the
// best run time up to date.
func (l *Limiter) follow(run estimate, limited bool) {
	doubling := l.limit < l.target && run.above(flat, l.best) < 2*evidence
	switch {
	case run.above(1, l.best) < -2*evidence:
		l.best = run
	case doubling:
		l.best = l.best.pool(run, l.best.trust(run))
	case !limited:
		l.best = l.best.pool(run, drift)
	}
	if !limited {
		return
	}
	if doubling {
		l.set(min(2*l.limit, l.target))
		return
	}
	l.target = l.limit
	room := (l.tolerance - run.mean/l.best.mean) / (l.tolerance - 1)
	l.set(l.limit*(1+l.stride()*min(max(room, 0), 1)) + math.Sqrt(l.limit)/2)
}

// stride returns the greatest growth per window.
func (l *Limiter) stride() float64 {
	if l.found {
		return stride
	}
	return firstStride
}

func (l *Limiter) set(limit float64) {
	l.limit = min(max(limit, minLimit), float64(l.ceiling))
}
