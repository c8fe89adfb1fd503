package acceptor

import (
	"time"

	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// urgency is the time before the latest start of a Critical call from which on
// lower running work gives way to it. It covers two calls of Tick.
const urgency = 100 * time.Millisecond

// rescue makes room for Critical calls that would miss their deadline in the
// queue while lower work runs.
func (a *Acceptor) rescue(now time.Time, out []action.Action) []action.Action {
	for {
		e, ok := a.queue.Peek()
		if !ok || a.latest(now, e).Sub(now) > urgency {
			return out
		}
		victim := a.victim(e)
		if victim == nil {
			return out
		}
		a.queue.Remove(e.handle)
		out = a.preempt(now, victim, out)
		out, _ = a.start(now, e, out)
	}
}

// inversion is how long after lower work was started a Critical call is not
// refused for overload. It waits instead, at least until its deadline.
const inversion = 100 * time.Millisecond

// owedPlace reports whether e is Critical and lower work runs or ran of late.
func (a *Acceptor) owedPlace(now time.Time, e *entry) bool {
	if e.offer.Priority.Level() < importance.Critical {
		return false
	}
	return now.Sub(a.lowerStarted) <= inversion || a.victim(e) != nil
}

// victim returns the running call that gives way to e, or nil. It is the
// lowest repeatable one, since a retry makes good for it; only if there is
// none, the lowest other one.
func (a *Acceptor) victim(e *entry) *entry {
	if e.offer.Priority.Level() < importance.Critical {
		return nil
	}
	lowest, ok := a.running.Lowest()
	if !ok || lowest.offer.Priority.Level() >= importance.Critical {
		return nil
	}
	if lowest.offer.Repeatable {
		return lowest
	}
	for other := range a.running.Ascend {
		if other.offer.Priority.Level() >= importance.Critical {
			break
		}
		if other.offer.Repeatable {
			return other
		}
	}
	return lowest
}

// preempt ends a run to make room for a more important call.
func (a *Acceptor) preempt(now time.Time, e *entry, out []action.Action) []action.Action {
	a.counters.preempted++
	return a.abort(now, e, outcome.Preempted, out)
}

// abort ends a run. Its outcome is unknown, because the backend server may
// have finished it.
func (a *Acceptor) abort(now time.Time, e *entry, reason outcome.Reason, out []action.Action) []action.Action {
	out = append(out, action.Action{Kind: action.Abort, Cancel: cancelOf(e)})
	answer := a.answers.take()
	answer.Outcome, answer.Reason = outcome.Unknown, reason
	a.leave(now, e, abortResult(reason))
	return a.conclude(now, e, answer, out)
}
