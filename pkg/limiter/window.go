package limiter

import (
	"math"
	"time"
)

// window measures the run times of one interval. A run time is an
// uninterrupted period for which a run was active.
type window struct {
	open             bool
	delay            time.Duration // time to opening once active runs are within the limit
	opensAt          time.Time     // zero until active runs are within the limit
	start            time.Time     // when the window opened
	last             time.Time     // end of the accounted time
	activeSeconds    float64       // integral of active runs over time
	atLimit          time.Duration // time for which the limit was in use
	runTimeSum       float64       // over served runs, in seconds
	runTimeSquareSum float64       // over served runs, in seconds squared
	served           int
	shed             int
	timedOut         int
}

// reset starts a new window, which opens with the given delay after the number
// of active runs has first been within the limit.
func (w *window) reset(delay time.Duration) { *w = window{delay: delay} }

// delayed reports whether the window has yet to open. Waiting runs that resume
// may exceed the limit again; that does not delay the window.
func (w *window) delayed(now time.Time, active, limit int) bool {
	if w.open {
		return false
	}
	if w.opensAt.IsZero() && active <= limit {
		w.opensAt = now.Add(w.delay)
	}
	if w.opensAt.IsZero() || active == 0 || now.Before(w.opensAt) {
		return true
	}
	w.open, w.start, w.last = true, now, now
	return false
}

// advance accounts for active runs since the last event.
func (w *window) advance(now time.Time, active int, atLimit bool) {
	d := now.Sub(w.last)
	if d <= 0 {
		return
	}
	w.activeSeconds += float64(active) * d.Seconds()
	if atLimit {
		w.atLimit += d
	}
	w.last = now
}

// record adds a run time. Aborted runs are ignored.
func (w *window) record(result Result, d time.Duration) {
	switch {
	case !w.open:
	case result == Served:
		w.served++
		w.runTimeSum += d.Seconds()
		w.runTimeSquareSum += d.Seconds() * d.Seconds()
	case result == Shed:
		w.shed++
	case result == TimedOut:
		w.timedOut++
	}
}

// runs returns the number of recorded runs.
func (w *window) runs() int { return w.served + w.shed + w.timedOut }

// elapsed returns the length of the window in seconds.
func (w *window) elapsed() float64 { return w.last.Sub(w.start).Seconds() }

// mean returns the mean number of active runs.
func (w *window) mean() float64 { return w.activeSeconds / w.elapsed() }

// limited reports whether the limit was in use for a sufficient part of the
// window.
func (w *window) limited() bool { return w.atLimit.Seconds() >= minLimitedFraction*w.elapsed() }

// runTime returns the mean run time of the served runs.
func (w *window) runTime() estimate {
	if w.served == 0 {
		return estimate{}
	}
	n := float64(w.served)
	mean := w.runTimeSum / n
	variance := max(0, w.runTimeSquareSum/n-mean*mean)
	return estimate{mean: mean, variance: variance / n}
}

// conclusiveCutRatio returns the ratio of the smallest cut that shows within a
// few runs whether calls queue. It depends on the coefficient of variation of
// the run times.
func (w *window) conclusiveCutRatio(runTime estimate) float64 {
	n := float64(max(w.served, 1))
	variation := math.Sqrt(runTime.variance*n) / runTime.mean
	d := conclusiveZScore * variation * math.Sqrt(1/conclusiveRuns+1/n)
	return min((1-d)/(1+d), maxConclusiveCutRatio)
}

// estimate is a mean run time in seconds and the variance of that mean.
type estimate struct{ mean, variance float64 }

// zScore returns by how many standard errors e exceeds ratio times o.
func (e estimate) zScore(ratio float64, o estimate) float64 {
	standardError := math.Sqrt(e.variance + ratio*ratio*o.variance)
	return (e.mean - ratio*o.mean) / max(standardError, minStandardError)
}

// combine returns the weighted mean of two estimates of the same quantity, with
// the given weight of o.
func (e estimate) combine(o estimate, weight float64) estimate {
	rest := 1 - weight
	return estimate{
		mean:     rest*e.mean + weight*o.mean,
		variance: rest*rest*e.variance + weight*weight*o.variance,
	}
}

// optimalWeight returns the weight of o that minimizes the variance of a
// combination with e.
func (e estimate) optimalWeight(o estimate) float64 {
	if e.variance+o.variance == 0 {
		return 0.5
	}
	return e.variance / (e.variance + o.variance)
}

const (
	// conclusiveRuns is the number of runs after which a cut should be
	// conclusive, and conclusiveZScore the number of standard errors required.
	conclusiveRuns   = 8.0
	conclusiveZScore = 2.25
	// maxConclusiveCutRatio is the ratio of the smallest conclusive cut.
	maxConclusiveCutRatio = 0.7
)

// minStandardError, a nanosecond, avoids a division by zero for constant run
// times.
const minStandardError = 1e-9
