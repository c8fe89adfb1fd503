package acceptor

import (
	"time"

	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// outranksRunning reports whether e is Critical and lower work runs, which
// then gives way to it.
func (a *Acceptor) outranksRunning(e *entry) bool { return a.victim(e) != nil }

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
