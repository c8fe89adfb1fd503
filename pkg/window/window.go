package window

import "time"

const (
	// part is the part of the latency objective that a request may spend in
	// queues before the services below it count as congested.
	part = 1.0 / 8
	// least bounds the target from below: the pause of a process between two
	// of its time slices is no sign of congestion.
	least = 10 * time.Millisecond
	// defaultObjective applies to routes without a latency objective.
	defaultObjective = time.Second
	// worst bounds the delay of one request, in targets, so that a single slow
	// server does not speak for a service that has room.
	worst = 4
	// recent is the least weight of one request in the mean delay. A small
	// window has few requests, each of which counts for more.
	recent = 1.0 / 8
	// smallest is the size that is always left, so that the end of a
	// congestion is noticed.
	smallest = 1
	// softest and hardest bound one decrease, as the ratio of sizes. A
	// request that was refused further down takes the hardest.
	softest = 0.95
	hardest = 0.5
	// idle is the part of the target below which nothing waits.
	idle = 1.0 / 4
	// slow and quick are the growth for each answered request while requests
	// wait and while nothing waits: the part by which a window grows in the
	// time of one request. All nodes grow at once, whatever their number.
	slow  = 0.05
	quick = 0.15
	// quickest is the same while a window is below half the size at which
	// requests last began to wait.
	quickest = 1
	// decay is the part of that size that remains with each decrease from a
	// smaller one.
	decay = 0.97
	// forgotten is the time without congestion or refusal after which a window
	// does not bind any more.
	forgotten = 5 * time.Second
)

// Sample is what became of a request.
type Sample struct {
	// Start is when the request was begun.
	Start time.Time
	// QueueDelay is the time that the request and its calls waited for a place at
	// servers.
	QueueDelay time.Duration
	// Refused says that a server further down had no place for it.
	Refused bool
}

// Window is the bound for one route. Below the target delay it grows, above it
// it shrinks, at most once in the time of a request. Since requests take longer
// as queues grow, the rate of new ones falls at once, before the size changes.
// It is not safe for concurrent use.
type Window struct {
	target time.Duration
	open   int
	size   float64 // 0 for no bound
	full   float64 // size at which requests last began to wait
	mean   float64 // delay of recent requests, ns
	cut    time.Time
	bound  time.Time // when the window last held a request back or shrank
}

// New returns a window without a bound for a route with a latency objective,
// or 0 for none.
func New(objective time.Duration) *Window {
	if objective == 0 {
		objective = defaultObjective
	}
	return &Window{target: max(least, time.Duration(part*float64(objective)))}
}

// Admit reports whether a request may begin, and counts it if so.
func (w *Window) Admit(now time.Time) bool {
	if w.size > 0 && float64(w.open) >= w.size {
		w.bound = now
		return false
	}
	w.open++
	return true
}

// Release records that a request has ended without telling anything.
func (w *Window) Release() { w.open-- }

// End records that a request has ended, and adapts the size.
func (w *Window) End(now time.Time, s Sample) {
	used := w.open
	w.open--
	delay := min(s.QueueDelay, worst*w.target)
	if s.Refused {
		delay = worst * w.target
	}
	w.mean += w.weight() * (float64(delay) - w.mean)
	switch {
	case w.Congested():
		if s.Start.After(w.cut) || w.size == 0 {
			w.shrink(now, used, s.Refused)
		}
	case w.size == 0:
	case now.Sub(w.bound) > forgotten:
		w.size = 0
	case float64(used) >= w.size/2:
		w.grow()
	}
}

func (w *Window) weight() float64 {
	if w.size == 0 {
		return recent
	}
	return max(recent, 1/w.size)
}

// Congested reports whether requests wait longer than the target.
func (w *Window) Congested() bool { return w.mean > float64(w.target) }

// shrink takes the size down by the part of the delay that is above the
// target. Requests that began before say nothing about the new size.
func (w *Window) shrink(now time.Time, used int, refused bool) {
	if w.size == 0 {
		w.size = float64(used)
	}
	w.full = max(w.size, decay*w.full)
	ratio := min(softest, float64(w.target)/w.mean)
	if refused {
		ratio = hardest
	}
	w.size = max(smallest, w.size*max(hardest, ratio))
	w.cut, w.bound = now, now
}

// grow adds a part of a request for each request that has ended.
func (w *Window) grow() {
	switch {
	case w.mean >= idle*float64(w.target):
		w.size += min(slow, 1/w.size)
	case w.size < w.full/2:
		w.size += quickest
	default:
		w.size += quick
	}
}

// InFlight returns the number of requests that have begun and not ended.
func (w *Window) InFlight() int { return w.open }

// Size returns the bound on open requests, or 0 for none.
func (w *Window) Size() float64 { return w.size }

// QueueDelay returns the mean time that recent requests waited for places.
func (w *Window) QueueDelay() time.Duration { return time.Duration(w.mean) }
