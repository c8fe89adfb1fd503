package servicetime

import (
	"math"
	"time"

	"github.com/papayapath/papayapath/pkg/message"
)

const (
	// usualTime is the time over which the usual service time of a kind is averaged. It
	// exceeds the disturbances that pass, which last for some hundred milliseconds.
	usualTime = 10 * time.Second
	// maxUsualWeight bounds the weight of one run in the usual service time of a kind of
	// which runs are rare.
	maxUsualWeight = 1.0 / 32
	// presentTime is the time over which the present slowdown is averaged.
	presentTime = 300 * time.Millisecond
	// minPresentWeight and maxPresentWeight bound the weight of one run in the present
	// slowdown. At a spread of 0.6, the noise of the estimate is 8 to 15%.
	minPresentWeight, maxPresentWeight = 1.0 / 32, 1.0 / 8
	// minRuns is the number of runs from which a kind counts for the present slowdown.
	minRuns = 8
	// maxOffset bounds the logarithm of one run relative to the usual one: a request that
	// takes many times as long tells more of the request than of the server.
	maxOffset = 1.5
	// outlierOffset is the logarithm relative to the expected one from which a run is an
	// outlier. Of a tail of 3 in 100, shiftRuns outliers in a row are rare: they tell that
	// the server has changed, and count with shiftWeight.
	outlierOffset = 1
	shiftRuns     = 3
	shiftWeight   = 1.0 / 2
	// maxSlowdown bounds the slowdown, in both directions.
	maxSlowdown = 16
	// maxKinds bounds the kinds of requests.
	maxKinds = 256
)

// kind is the service time of one kind of request.
type kind struct {
	log   float64 // mean logarithm of the nanoseconds
	runs  int     // up to the number at which the weight no longer falls
	added time.Time
}

// Estimator estimates the service times of a backend server. The means are geometric
// ones: few runs that take many times as long hardly move them.
//
// An Estimator is not safe for concurrent use.
type Estimator struct {
	kinds   map[message.Route]*kind
	offset  float64 // weighted mean of the logarithms of recent runs relative to the usual ones
	updated time.Time
	// outliers is the number of latest runs that were outliers in the same direction,
	// negative for runs that were faster.
	outliers int
}

// New returns an estimator without runs.
func New() *Estimator { return &Estimator{kinds: make(map[message.Route]*kind)} }

// Add adds the service time of a run, without the calls that it made. Values that are
// not positive are ignored.
func (e *Estimator) Add(now time.Time, key message.Route, serviceTime time.Duration) {
	if serviceTime <= 0 {
		return
	}
	log := math.Log(float64(serviceTime))
	k := e.kinds[key]
	if k == nil {
		if len(e.kinds) >= maxKinds {
			clear(e.kinds)
		}
		k = &kind{log: log, added: now}
		e.kinds[key] = k
	}
	if k.runs >= minRuns {
		e.addOffset(now, log-k.log)
	}
	k.runs++
	// An even mean of the first runs, then one over usualTime.
	weight := max(1/float64(k.runs), min(maxUsualWeight, now.Sub(k.added).Seconds()/usualTime.Seconds()))
	k.log += weight * (log - k.log)
	k.added = now
}

// addOffset adds the logarithm of a run relative to the usual one.
func (e *Estimator) addOffset(now time.Time, offset float64) {
	weight := max(minPresentWeight, min(maxPresentWeight, now.Sub(e.updated).Seconds()/presentTime.Seconds()))
	e.updated = now
	switch {
	case offset > e.offset+outlierOffset:
		e.outliers = max(0, e.outliers) + 1
	case offset < e.offset-outlierOffset:
		e.outliers = min(0, e.outliers) - 1
	default:
		e.outliers = 0
	}
	if e.outliers >= shiftRuns || e.outliers <= -shiftRuns {
		e.offset += shiftWeight * (offset - e.offset)
		return
	}
	e.offset += weight * (max(-maxOffset, min(maxOffset, offset)) - e.offset)
}

// Usual returns the usual service time of a kind of request, or 0 if none has run.
func (e *Estimator) Usual(key message.Route) time.Duration {
	if k := e.kinds[key]; k != nil {
		return time.Duration(math.Exp(k.log))
	}
	return 0
}

// Slowdown returns the factor by which the latest runs took longer than usual.
func (e *Estimator) Slowdown() float64 {
	return max(1.0/maxSlowdown, min(maxSlowdown, math.Exp(e.offset)))
}
