package window

import "time"

const (
	// queueDelayFraction is the fraction of the latency objective that a
	// request may spend in queues before the services below it count as
	// congested.
	queueDelayFraction = 1.0 / 8
	// minTarget is the lower bound of the target delay. A process that is
	// descheduled between two time slices is not a sign of congestion.
	minTarget = 10 * time.Millisecond
	// defaultObjective applies to routes without a latency objective.
	defaultObjective = time.Second
	// maxDelayTargets caps the delay of one sample, in multiples of the target,
	// so that a single slow server does not limit a service with free capacity.
	maxDelayTargets = 4
	// minSampleWeight is the minimum weight of one sample in the mean delay. A
	// small window has few requests, so each of them has a larger weight.
	minSampleWeight = 1.0 / 8
	// minSize is the smallest window size. It leaves one request in flight to
	// detect the end of congestion.
	minSize = 1
	// maxDecreaseRatio and minDecreaseRatio bound the ratio of the new size to
	// the old one in one decrease. A downstream refusal applies
	// minDecreaseRatio.
	maxDecreaseRatio = 0.95
	minDecreaseRatio = 0.5
	// idleFraction is the fraction of the target delay below which the services
	// count as free of queueing.
	idleFraction = 1.0 / 4
	// queueingGrowth and idleGrowth are the growth per completed request with
	// and without queueing, which is the relative growth of the window in the
	// time of one request. The total grows at the same rate for any number of
	// nodes, because all of them grow concurrently.
	queueingGrowth = 0.05
	idleGrowth     = 0.15
	// slowStartGrowth is the growth per completed request while the window is
	// below half the saturation size.
	slowStartGrowth = 1
	// saturationDecay is the factor applied to the saturation size on a
	// decrease from a smaller size.
	saturationDecay = 0.97
	// limitLifetime is the time without congestion or refusal after which the
	// limit is removed.
	limitLifetime = 5 * time.Second
)

// Sample is the result of a completed request.
type Sample struct {
	// Start is the time at which the request was admitted.
	Start time.Time
	// QueueDelay is the time that the request and its calls spent in the queues
	// of servers.
	QueueDelay time.Duration
	// Refused reports whether a downstream server refused the request for lack
	// of capacity.
	Refused bool
}

// Window is an adaptive concurrency limit for one route. It grows while the
// queueing delay is below the target and shrinks while it is above, at most
// once per request duration. Because requests take longer as queues grow, the
// admission rate falls before the size changes.
//
// A Window is not safe for concurrent use.
type Window struct {
	target      time.Duration
	inFlight    int
	size        float64 // 0 if unlimited
	saturation  float64 // size at which queueing last began
	meanDelay   float64 // weighted mean of the queueing delay, ns
	decreased   time.Time
	lastLimited time.Time // last refusal or decrease
}

// New returns an unlimited window for a route with the given latency objective.
// An objective of 0 selects a default.
func New(objective time.Duration) *Window {
	if objective == 0 {
		objective = defaultObjective
	}
	return &Window{target: max(minTarget, time.Duration(queueDelayFraction*float64(objective)))}
}

// Admit reports whether a request may start. If so, it counts as in flight
// until Release or End is called.
func (w *Window) Admit(now time.Time) bool {
	if !w.HasPlace() {
		w.lastLimited = now
		return false
	}
	w.inFlight++
	return true
}

// HasPlace reports whether Admit would admit a request.
func (w *Window) HasPlace() bool { return w.size == 0 || float64(w.inFlight) < w.size }

// Release records the end of a request that yields no sample, such as one that
// timed out or was canceled by its client.
func (w *Window) Release() { w.inFlight-- }

// End records the completion of a request and adapts the size.
func (w *Window) End(now time.Time, s Sample) {
	concurrency := w.inFlight
	w.inFlight--
	delay := min(max(s.QueueDelay, 0), maxDelayTargets*w.target)
	if s.Refused {
		delay = maxDelayTargets * w.target
	}
	w.meanDelay += w.sampleWeight() * (float64(delay) - w.meanDelay)
	switch {
	case w.Congested():
		// Requests admitted before the last decrease do not reflect the new
		// size.
		if s.Start.After(w.decreased) || w.size == 0 {
			w.decrease(now, concurrency, s.Refused)
		}
	case w.size == 0:
	case now.Sub(w.lastLimited) > limitLifetime:
		w.size = 0
	case float64(concurrency) >= w.size/2:
		w.increase()
	}
}

// sampleWeight returns the weight of one sample in the mean delay.
func (w *Window) sampleWeight() float64 {
	if w.size == 0 {
		return minSampleWeight
	}
	return max(minSampleWeight, 1/w.size)
}

// Congested reports whether the mean queueing delay exceeds the target.
func (w *Window) Congested() bool { return w.meanDelay > float64(w.target) }

// decrease reduces the size in proportion to the excess of the delay over the
// target. An unlimited window starts from the present concurrency.
func (w *Window) decrease(now time.Time, concurrency int, refused bool) {
	if w.size == 0 {
		w.size = float64(concurrency)
	}
	w.saturation = max(w.size, saturationDecay*w.saturation)
	ratio := min(maxDecreaseRatio, float64(w.target)/w.meanDelay)
	if refused {
		ratio = minDecreaseRatio
	}
	w.size = max(minSize, w.size*max(minDecreaseRatio, ratio))
	w.decreased, w.lastLimited = now, now
}

// increase grows the size for one completed request.
func (w *Window) increase() {
	switch {
	case w.meanDelay >= idleFraction*float64(w.target):
		w.size += min(queueingGrowth, 1/w.size)
	case w.size < w.saturation/2:
		w.size += slowStartGrowth
	default:
		w.size += idleGrowth
	}
}

// InFlight returns the number of admitted requests that have not ended.
func (w *Window) InFlight() int { return w.inFlight }

// Size returns the limit on requests in flight, or 0 if there is none.
func (w *Window) Size() float64 { return w.size }

// QueueDelay returns the weighted mean queueing delay of recent requests.
func (w *Window) QueueDelay() time.Duration { return time.Duration(w.meanDelay) }
