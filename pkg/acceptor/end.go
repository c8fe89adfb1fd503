package acceptor

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/queue"
)

// Cancel ends an attempt that its caller no longer wants: a waiting one as not
// run, a running one as unknown. A Cancel from a node that did not offer the
// call is ignored.
func (a *Acceptor) Cancel(now time.Time, from instance.ID, c message.Cancel, out []action.Action) []action.Action {
	a.adapt(now)
	e := a.entries.find(c.Call, c.Attempt)
	if e == nil || e.from != from {
		return out
	}
	if e.state == running {
		out = a.abort(now, e, outcome.Canceled, out)
		return a.dispatch(now, out)
	}
	a.place(e).Remove(e.handle)
	return a.dispatch(now, a.refuse(now, e, outcome.Canceled, out))
}

// Withdraw records that the backend server is gone. Runs end as unknown, and
// their requests are suspected unless the server was draining. Waiting calls
// were not run. Announce brings the next backend server.
func (a *Acceptor) Withdraw(now time.Time, out []action.Action) []action.Action {
	service := a.service
	a.service = ""
	if !a.draining && service != "" {
		a.suspectRuns(now)
	}
	a.draining, a.isolation = false, isolation{}
	out = a.refuseAll(now, a.queue, outcome.Unavailable, out)
	out = a.refuseAll(now, a.suspects, outcome.Unavailable, out)
	for {
		e, ok := a.running.Peek()
		if !ok {
			break
		}
		out = a.abort(now, e, outcome.Crashed, out)
	}
	out = a.refuseAll(now, a.blocked, outcome.Unavailable, out)
	return a.refuseAll(now, a.queue, outcome.Unavailable, out)
}

// suspectRuns reports the requests that ran at a crash to the quarantine.
func (a *Acceptor) suspectRuns(now time.Time) {
	requests := a.casualties.take(now)
	for e := range a.running.Ascend {
		requests = append(requests, e.request())
	}
	a.crashes++
	a.quarantine.RecordCrash(now, xxhash.Sum64String(fmt.Sprint(a.self, a.crashes)), requests)
}

// refuseAll empties one of the queues of waiting calls.
func (a *Acceptor) refuseAll(now time.Time, q *queue.Queue[*entry], reason outcome.Reason, out []action.Action) []action.Action {
	for {
		e, ok := q.Pop()
		if !ok {
			return out
		}
		out = a.refuse(now, e, reason, out)
	}
}

// place returns the queue in which a waiting call is.
func (a *Acceptor) place(e *entry) *queue.Queue[*entry] {
	switch e.state {
	case suspect:
		return a.suspects
	case blocked:
		return a.blocked
	default:
		return a.queue
	}
}
