package admission

import (
	"time"

	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/priority"
)

const (
	// ranks is the number of priorities that are told apart.
	ranks = (int(importance.Critical) + 1) * priority.Steps
	// interval is the time between two adaptations.
	interval = 50 * time.Millisecond
	// slowest is the elapsed time that one adaptation accounts for at most,
	// so that a pause of the node does not count as a time without arrivals.
	slowest = 4 * interval
	// defaultTarget is the queueing time above which the server counts as
	// overloaded.
	defaultTarget = 10 * time.Millisecond
	// recent is the weight of the last interval in the averages.
	recent = 0.3
	// memory is the weight per interval of the present arrivals below the
	// threshold. Callers hold those back, so what arrives says little; the
	// demand from before the threshold was raised is forgotten over 1 s.
	memory = 0.05
	// surplus is the ratio of admitted calls to capacity that is aimed at.
	// The excess waits in the queue and keeps the server busy.
	surplus = 1.2
	// growth is the factor per interval without overload on that ratio.
	growth = 1.25
	// firstStep is the first decrease of the threshold after an overload.
	// Each further one is twice as large, so that it falls from the highest
	// value to zero within 8 intervals.
	firstStep = 4
)

// Controller holds the admission threshold of one server. The threshold is the
// lowest priority that is admitted while the server is overloaded.
type Controller struct {
	target    time.Duration
	threshold int
	step      int
	room      float64 // ratio of admitted calls to capacity
	last      time.Time
	rates     [ranks]float32 // arrivals per second by priority
	counts    [ranks]uint16  // arrivals since the last adaptation
	started   int
	refused   int
	waited    time.Duration // sum over the started calls
	capacity  float64       // calls handed over per second under load
}

// Option changes a default of New.
type Option func(*Controller)

// WithTarget sets the mean queueing time above which the server counts as
// overloaded.
func WithTarget(d time.Duration) Option { return func(c *Controller) { c.target = d } }

// New returns a controller that admits everything.
func New(options ...Option) *Controller {
	c := &Controller{target: defaultTarget}
	for _, o := range options {
		o(c)
	}
	c.Reset(time.Time{})
	return c
}

// Reset forgets what was learned and admits everything.
func (c *Controller) Reset(now time.Time) {
	*c = Controller{target: c.target, step: firstStep, room: surplus, last: now}
}

// Threshold returns the lowest priority that is admitted under load.
func (c *Controller) Threshold() priority.Priority { return priority.Priority(c.threshold) }

// RecordArrival records that a call was offered.
func (c *Controller) RecordArrival(p priority.Priority) {
	n := &c.counts[min(int(p), ranks-1)]
	if *n < maxCount {
		*n++
	}
}

// RecordStart records that a call was handed over after it had waited.
func (c *Controller) RecordStart(waited time.Duration) {
	c.started++
	c.waited += waited
}

// RecordRefusal records that an admitted call was refused, because the queue was full
// or its time in the queue was up.
func (c *Controller) RecordRefusal() { c.refused++ }

// Adapt moves the threshold if an interval has passed. queued is the number of
// calls that wait.
func (c *Controller) Adapt(now time.Time, queued int) {
	elapsed := now.Sub(c.last)
	if elapsed < interval {
		return
	}
	c.last = now
	seconds := min(elapsed, slowest).Seconds()
	c.learn(seconds)
	started := float64(c.started) / seconds
	if c.overloaded(queued) {
		c.capacity += recent * (started - c.capacity)
		c.raise()
	} else {
		c.capacity = max(c.capacity, started)
		c.lower()
	}
	c.started, c.refused, c.waited = 0, 0, 0
}

// overloaded reports whether calls waited too long or were refused.
func (c *Controller) overloaded(queued int) bool {
	if c.refused > 0 {
		return true
	}
	if c.started == 0 {
		return queued > 0
	}
	return c.waited/time.Duration(c.started) > c.target
}

// learn adds the arrivals of the last interval to the rates.
func (c *Controller) learn(seconds float64) {
	for r := range c.counts {
		rate := float32(float64(c.counts[r]) / seconds)
		weight := float32(recent)
		if r < c.threshold && rate < c.rates[r] {
			weight = memory
		}
		c.rates[r] += weight * (rate - c.rates[r])
		c.counts[r] = 0
	}
}

// raise sets the threshold to where the arrivals above it match the capacity.
func (c *Controller) raise() {
	c.threshold = c.match(surplus * c.capacity)
	c.step, c.room = firstStep, surplus
}

// lower takes the threshold down to where the arrivals above it match a
// multiple of the capacity that grows, and at least by a step that doubles.
func (c *Controller) lower() {
	c.room *= growth
	c.threshold = max(0, min(c.match(c.room*c.capacity), c.threshold-c.step))
	c.step = min(2*c.step, ranks)
}

// match returns the lowest threshold that admits at most so many calls per
// second.
func (c *Controller) match(rate float64) int {
	admitted := 0.0
	r := ranks
	for r > 0 && admitted+float64(c.rates[r-1]) <= rate {
		r--
		admitted += float64(c.rates[r])
	}
	return min(r, ranks-1)
}

// maxCount keeps a count within its type.
const maxCount = 1<<16 - 1
