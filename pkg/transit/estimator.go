package transit

import "time"

// baseInterval is the interval after which the shortest transit is measured
// anew. At a clock drift of 100 parts per million the error in two intervals is
// 6 ms.
const baseInterval = 30 * time.Second

// Estimator estimates the delay of messages on one connection. The clocks of
// sender and receiver are not compared: the fastest message of the last
// intervals shows their difference plus the undisturbed transit time. The zero
// value is ready for use. It is not safe for concurrent use.
type Estimator struct {
	started           bool
	origin            time.Time     // of the receiver's readings
	changed           time.Time     // start of the current interval
	current, previous time.Duration // shortest difference in the current and the last interval
}

// Delay records a message that was sent at the given reading of the sender's
// clock and received at now. It returns by how much longer the message took than
// the fastest recent one. The first message has no delay.
func (e *Estimator) Delay(now time.Time, sent time.Duration) time.Duration {
	if !e.started {
		e.started, e.origin, e.changed = true, now, now
		e.current, e.previous = -sent, -sent
	}
	difference := now.Sub(e.origin) - sent
	if now.Sub(e.changed) >= baseInterval {
		e.changed, e.previous, e.current = now, e.current, difference
	}
	e.current = min(e.current, difference)
	// A reading that no clock has makes the differences overflow.
	return max(0, difference-min(e.current, e.previous))
}
