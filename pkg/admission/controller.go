package admission

import (
	"time"

	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/priority"
)

const (
	// priorityLevels is the number of distinct priorities.
	priorityLevels = (int(importance.Critical) + 1) * priority.Steps
	// interval is the time between two adaptations.
	interval = 50 * time.Millisecond
	// maxElapsed is the maximum elapsed time that one adaptation accounts for,
	// so that a pause of the node does not count as a period without arrivals.
	maxElapsed = 4 * interval
	// defaultTarget is the queueing time above which the server counts as
	// overloaded.
	defaultTarget = 10 * time.Millisecond
	// smoothing is the weight of the last interval in the moving averages.
	smoothing = 0.3
	// heldBackSmoothing is the same for decreasing arrivals below the
	// threshold. Callers hold those calls back, so the arrivals understate the
	// demand; the demand from before the threshold was raised decays over 1 s.
	heldBackSmoothing = 0.05
	// surplus is the target ratio of admitted calls to capacity. The excess
	// waits in the queue and keeps the server busy.
	surplus = 1.2
	// surplusGrowth is the growth factor of that ratio per interval without
	// overload.
	surplusGrowth = 1.25
	// initialStep is the first decrease of the threshold after an overload.
	// Each further decrease is twice as large, so that the threshold falls from
	// the highest value to zero within 8 intervals.
	initialStep = 4
)

// Controller adapts the admission threshold of one server. The threshold is the
// lowest priority that is admitted while the server is overloaded.
type Controller struct {
	target         time.Duration
	threshold      int
	step           int
	admissionRatio float64 // target ratio of admitted calls to capacity
	last           time.Time
	arrivalRates   [priorityLevels]float32 // arrivals per second by priority
	arrivals       [priorityLevels]uint16  // arrivals since the last adaptation
	started        int
	refused        int
	queueingTime   time.Duration // sum over the started calls
	capacity       float64       // calls started per second under load
}

// Option changes a default of New.
type Option func(*Controller)

// WithTarget sets the mean queueing time above which the server counts as
// overloaded.
func WithTarget(d time.Duration) Option { return func(c *Controller) { c.target = d } }

// New returns a controller that admits all calls.
func New(options ...Option) *Controller {
	c := &Controller{target: defaultTarget}
	for _, o := range options {
		o(c)
	}
	c.Reset(time.Time{})
	return c
}

// Reset discards all measurements and admits all calls.
func (c *Controller) Reset(now time.Time) {
	*c = Controller{target: c.target, step: initialStep, admissionRatio: surplus, last: now}
}

// Threshold returns the lowest priority that is admitted under load.
func (c *Controller) Threshold() priority.Priority { return priority.Priority(c.threshold) }

// RecordArrival records that a call was offered.
func (c *Controller) RecordArrival(p priority.Priority) {
	n := &c.arrivals[min(int(p), priorityLevels-1)]
	if *n < maxArrivals {
		*n++
	}
}

// RecordStart records that a call was passed to the server after the given
// time in the queue.
func (c *Controller) RecordStart(queueingTime time.Duration) {
	c.started++
	c.queueingTime += queueingTime
}

// RecordRefusal records that an admitted call was refused, because the queue
// was full or the call exceeded its maximum time in the queue.
func (c *Controller) RecordRefusal() { c.refused++ }

// Adapt updates the threshold if an interval has passed. queued is the number
// of calls in the queue.
func (c *Controller) Adapt(now time.Time, queued int) {
	elapsed := now.Sub(c.last)
	if elapsed < interval {
		return
	}
	c.last = now
	seconds := min(elapsed, maxElapsed).Seconds()
	c.updateArrivalRates(seconds)
	started := float64(c.started) / seconds // per second
	if c.overloaded(queued) {
		c.capacity += smoothing * (started - c.capacity)
		c.raise()
	} else {
		c.capacity = max(c.capacity, started)
		c.lower()
	}
	c.started, c.refused, c.queueingTime = 0, 0, 0
}

// overloaded reports whether calls queued for too long or were refused.
func (c *Controller) overloaded(queued int) bool {
	if c.refused > 0 {
		return true
	}
	if c.started == 0 {
		return queued > 0
	}
	return c.queueingTime/time.Duration(c.started) > c.target
}

// updateArrivalRates adds the arrivals of the last interval to the moving
// averages.
func (c *Controller) updateArrivalRates(seconds float64) {
	for p := range c.arrivals {
		rate := float32(float64(c.arrivals[p]) / seconds)
		weight := float32(smoothing)
		if p < c.threshold && rate < c.arrivalRates[p] {
			weight = heldBackSmoothing
		}
		c.arrivalRates[p] += weight * (rate - c.arrivalRates[p])
		c.arrivals[p] = 0
	}
}

// raise sets the threshold so that the arrivals above it match the capacity
// plus the surplus.
func (c *Controller) raise() {
	c.threshold = c.thresholdForRate(surplus * c.capacity)
	c.step, c.admissionRatio = initialStep, surplus
}

// lower reduces the threshold so that the arrivals above it match a growing
// multiple of the capacity, and by at least a step that doubles each time.
func (c *Controller) lower() {
	c.admissionRatio *= surplusGrowth
	c.threshold = max(0, min(c.thresholdForRate(c.admissionRatio*c.capacity), c.threshold-c.step))
	c.step = min(2*c.step, priorityLevels)
}

// thresholdForRate returns the lowest threshold that admits at most the given
// number of calls per second.
func (c *Controller) thresholdForRate(rate float64) int {
	admitted := 0.0
	p := priorityLevels
	for p > 0 && admitted+float64(c.arrivalRates[p-1]) <= rate {
		p--
		admitted += float64(c.arrivalRates[p])
	}
	return min(p, priorityLevels-1)
}

// maxArrivals is the largest value of an arrival counter, which saturates.
const maxArrivals = 1<<16 - 1
