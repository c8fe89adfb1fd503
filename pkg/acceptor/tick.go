package acceptor

import (
	"time"

	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/queue"
)

// Tick ends the calls whose time is up, adapts limit and threshold, and starts
// waiting calls. It is meant to be called every 10 to 50 ms.
func (a *Acceptor) Tick(now time.Time, out []action.Action) []action.Action {
	a.adapt(now)
	out = a.expireRuns(now, out)
	out = a.expire(now, a.queue, outcome.Overload, out)
	out = a.expire(now, a.suspects, outcome.Suspect, out)
	out = a.expire(now, a.blocked, outcome.InProgress, out)
	out = a.unblock(now, "", out)
	out = a.shorten(now, a.rescue(now, out))
	return a.dispatch(now, out)
}

// expireRuns ends the runs whose deadline has passed.
func (a *Acceptor) expireRuns(now time.Time, out []action.Action) []action.Action {
	first := len(a.scratch)
	a.scratch = a.running.AppendExpired(now, a.scratch)
	for _, e := range a.scratch[first:] {
		out = a.abort(now, e, outcome.Expired, out)
	}
	a.scratch = a.scratch[:first]
	return out
}

// expire refuses waiting calls whose time is up. The reason is Expired if the
// deadline can't be met anywhere.
func (a *Acceptor) expire(now time.Time, q *queue.Queue[*entry], reason outcome.Reason, out []action.Action) []action.Action {
	first := len(a.scratch)
	a.scratch = q.AppendExpired(now, a.scratch)
	for _, e := range a.scratch[first:] {
		q.Remove(e.handle)
		if q == a.queue {
			a.admission.RecordRefusal()
		}
		if e.deadline.Sub(now) <= a.routes.expected(now, e.route) {
			out = a.refuse(now, e, outcome.Expired, out)
			continue
		}
		out = a.refuse(now, e, reason, out)
	}
	a.scratch = a.scratch[:first]
	return out
}
