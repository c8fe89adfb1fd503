package acceptor

import (
	"time"

	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/quarantine"
)

// minQueue is the length that the queue may always have. A server with few
// slots needs it to take up a burst.
const minQueue = 8

// criticalQueue is how many times longer a queue of Critical calls may be.
const criticalQueue = 4

// Offer decides about a call that the node from offers. It appends a Run, an
// Answer, or nothing if the call waits. A repeated offer of the same attempt
// is ignored.
func (a *Acceptor) Offer(now time.Time, from instance.ID, o *message.Offer, out []action.Action) []action.Action {
	a.adapt(now)
	e, ok := a.entries.add(from, o)
	if !ok {
		return out
	}
	a.counters.offered++
	e.arrived, e.deadline = now, now.Add(o.Remaining)
	e.route = routeOf(o)
	if a.settled(now, o) {
		// The load says nothing about a key that needs no run.
		var run bool
		if out, run = a.check(now, e, out); !run {
			return out
		}
	}
	if reason := a.precluded(now, e); reason != outcome.None {
		return a.refuse(now, e, reason, out)
	}
	a.admission.RecordArrival(o.Priority)
	switch a.quarantine.Check(now, e.request()) {
	case quarantine.Refuse:
		return a.refuse(now, e, outcome.Suspect, out)
	case quarantine.Isolate:
		return a.hold(now, e, out)
	default:
		return a.admit(now, e, out)
	}
}

// settled reports whether the guard decides about o without a run: the key has
// ended, runs, or may not run here.
func (a *Acceptor) settled(now time.Time, o *message.Offer) bool {
	return !o.Repeatable && a.guard != nil && a.service == o.Service && !a.guard.Fresh(now, o)
}

// precluded returns why a call can't be run whatever the load, or None.
func (a *Acceptor) precluded(now time.Time, e *entry) outcome.Reason {
	switch {
	case a.service == "" || e.offer.Service != a.service:
		return outcome.Unavailable
	case a.draining:
		return outcome.Draining
	case !e.offer.Repeatable && a.guard == nil:
		return outcome.NoLease
	case e.offer.Remaining <= a.routes.expected(now, e.route):
		return outcome.Expired
	default:
		return outcome.None
	}
}

// admit runs e, queues it or refuses it. A call below the threshold runs if
// there is room, because refusing it then would only waste capacity.
func (a *Acceptor) admit(now time.Time, e *entry, out []action.Action) []action.Action {
	if a.queue.Len() == 0 && a.roomy() {
		out, _ = a.start(now, e, out)
		return out
	}
	if e.offer.Priority < a.admission.Threshold() && !a.owedPlace(now, e) {
		return a.refuse(now, e, outcome.Overload, out)
	}
	a.enqueue(now, e)
	return a.dispatch(now, a.shorten(now, out))
}

// enqueue lets e wait for its turn.
func (a *Acceptor) enqueue(now time.Time, e *entry) {
	e.state = queued
	latest := a.latest(now, e)
	if e.offer.Priority.Level() < importance.Critical {
		latest = earlier(latest, now.Add(a.patience))
	}
	e.handle = a.queue.Push(e.offer.Priority, latest, e)
}

// latest returns when e has to start to meet its deadline.
func (a *Acceptor) latest(now time.Time, e *entry) time.Time {
	return e.deadline.Add(-a.routes.expected(now, e.route))
}

// shorten makes room in a queue that is too long. Lower running work gives way
// to a Critical call; otherwise the call of the lowest priority is evicted.
func (a *Acceptor) shorten(now time.Time, out []action.Action) []action.Action {
	for {
		lowest, ok := a.queue.Lowest()
		if !ok || a.queue.Len() <= a.queueLimit(lowest) {
			return out
		}
		if victim := a.victim(lowest); victim != nil {
			return a.preempt(now, victim, out)
		}
		if a.owedPlace(now, lowest) {
			return out
		}
		a.queue.Remove(lowest.handle)
		a.admission.RecordRefusal()
		out = a.refuse(now, lowest, outcome.Overload, out)
	}
}

// queueLimit returns how many calls may wait if e is the lowest of them: as
// many as run at once, so that a call waits for about one run time. If only
// Critical calls wait, their deadlines bound the wait.
func (a *Acceptor) queueLimit(e *entry) int {
	limit := max(minQueue, a.limiter.Limit())
	if e.offer.Priority.Level() >= importance.Critical {
		limit *= criticalQueue
	}
	return limit
}

// roomy reports whether a call may start without waiting.
func (a *Acceptor) roomy() bool {
	return a.service != "" && a.limiter.Allows() && !a.isolation.active()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
