package limiter

import (
	"math"
	"time"
)

// window measures the run times of one interval. A run time is the time for
// which a run was active without a break.
type window struct {
	open   bool
	wait   time.Duration // time from the limit being kept to opening
	after  time.Time     // when the window opens; zero until the limit is kept
	start  time.Time     // when it opened
	last   time.Time     // end of the time accounted for
	area   float64       // integral of active runs, in seconds
	full   time.Duration // time for which the limit was in use
	sum    float64       // of the run times of served runs, in seconds
	square float64       // sum of their squares
	served int
	shed   int
	late   int
}

// reset starts a new window, which opens at the time wait after the runs have
// first kept the limit.
func (w *window) reset(wait time.Duration) { *w = window{wait: wait} }

// settling reports whether the window has yet to open. Runs that come back
// from waiting may exceed the limit again; that does not delay the window.
func (w *window) settling(now time.Time, active, limit int) bool {
	if w.open {
		return false
	}
	if w.after.IsZero() && active <= limit {
		w.after = now.Add(w.wait)
	}
	if w.after.IsZero() || active == 0 || now.Before(w.after) {
		return true
	}
	w.open, w.start, w.last = true, now, now
	return false
}

// advance accounts for active runs since the last event.
func (w *window) advance(now time.Time, active int, full bool) {
	d := now.Sub(w.last)
	if d <= 0 {
		return
	}
	w.area += float64(active) * d.Seconds()
	if full {
		w.full += d
	}
	w.last = now
}

// end counts a run time.
func (w *window) end(result Result, d time.Duration) {
	switch {
	case !w.open:
	case result == Served:
		w.served++
		w.sum += d.Seconds()
		w.square += d.Seconds() * d.Seconds()
	case result == Shed:
		w.shed++
	case result == TimedOut:
		w.late++
	}
}

// ended returns the number of runs that ended by themselves or were late.
func (w *window) ended() int { return w.served + w.shed + w.late }

// elapsed returns the length of the window in seconds.
func (w *window) elapsed() float64 { return w.last.Sub(w.start).Seconds() }

// mean returns the mean number of active runs.
func (w *window) mean() float64 { return w.area / w.elapsed() }

// limited reports whether the limit was in use for a good part of the window.
func (w *window) limited() bool { return w.full.Seconds() >= limitedShare*w.elapsed() }

// run returns the run time of the runs that ended.
func (w *window) run() estimate {
	if w.served == 0 {
		return estimate{}
	}
	n := float64(w.served)
	mean := w.sum / n
	variance := max(0, w.square/n-mean*mean)
	return estimate{mean: mean, variance: variance / n}
}

// shallow returns the ratio of the smallest cut that shows whether calls queue
// within a few runs. It depends on the scatter of the run times.
func (w *window) shallow(run estimate) float64 {
	n := float64(max(w.served, 1))
	scatter := math.Sqrt(run.variance*n) / run.mean
	d := testEvidence * scatter * math.Sqrt(1/testServed+1/n)
	return min((1-d)/(1+d), testCut)
}

// estimate is a mean run time in seconds and the variance of that mean.
type estimate struct{ mean, variance float64 }

// above returns by how many standard errors e lies above ratio times o.
func (e estimate) above(ratio float64, o estimate) float64 {
	deviation := math.Sqrt(e.variance + ratio*ratio*o.variance)
	return (e.mean - ratio*o.mean) / max(deviation, minDeviation)
}

// pool combines two estimates of the same quantity, giving o the given weight.
func (e estimate) pool(o estimate, weight float64) estimate {
	keep := 1 - weight
	return estimate{
		mean:     keep*e.mean + weight*o.mean,
		variance: keep*keep*e.variance + weight*weight*o.variance,
	}
}

// trust returns the weight of o in a pool with e that has the least variance.
func (e estimate) trust(o estimate) float64 {
	if e.variance+o.variance == 0 {
		return 0.5
	}
	return e.variance / (e.variance + o.variance)
}

const (
	// testServed is the number of runs by which a cut should be conclusive,
	// and testEvidence the number of standard errors that it takes.
	testServed   = 8.0
	testEvidence = 2.25
	// testCut is the smallest cut, as a ratio, that tells anything.
	testCut = 0.7
)

// minDeviation, a nanosecond, avoids a division by zero for constant run times.
const minDeviation = 1e-9
