package acceptor

import (
	"time"

	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/limiter"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// dispatch starts waiting calls while there is room.
func (a *Acceptor) dispatch(now time.Time, out []action.Action) []action.Action {
	out = a.isolate(now, out)
	for a.roomy() {
		e, ok := a.queue.Pop()
		if !ok {
			return out
		}
		out, _ = a.start(now, e, out)
	}
	return out
}

// start hands e to the backend server, unless its deadline can't be met or
// the guard has another decision. It reports whether e runs.
func (a *Acceptor) start(now time.Time, e *entry, out []action.Action) ([]action.Action, bool) {
	o := e.offer
	if e.deadline.Sub(now) <= a.routes.expected(now, e.route) {
		return a.refuse(now, e, outcome.Expired, out), false
	}
	o.Remaining = e.deadline.Sub(now)
	a.admission.RecordStart(now.Sub(e.arrived))
	if !o.Repeatable && !e.guarded {
		var run bool
		if out, run = a.check(now, e, out); !run {
			return out, false
		}
	}
	e.state, e.started, e.resumed = running, now, now
	e.handle = a.running.Push(o.Priority, e.deadline, e)
	a.limiter.Begin(now)
	if o.Priority.Level() < importance.Critical {
		a.lowerStarted = now
	}
	a.counters.started++
	return append(out, action.Action{Kind: action.Run, Offer: o}), true
}

// check asks the guard about e and carries out any verdict but to run it.
func (a *Acceptor) check(now time.Time, e *entry, out []action.Action) ([]action.Action, bool) {
	if e.offer.KeyAge >= 0 {
		e.offer.KeyAge += now.Sub(e.arrived)
		e.arrived = now
	}
	v := a.guard.Admit(now, e.offer)
	switch v.Decision {
	case GuardRun:
		e.guarded = true
		return out, true
	case GuardWait:
		e.state = blocked
		e.handle = a.blocked.Push(e.offer.Priority, e.deadline, e)
		return out, false
	case GuardReplay:
		answer := a.answers.take()
		*answer = *v.Answer
		answer.Replayed = true
		out = a.conclude(now, e, answer, out)
		out[len(out)-1].Body = v.Body
		return out, false
	default:
		answer := a.answers.take()
		answer.Outcome, answer.Reason, answer.Epoch = v.Outcome, v.Reason, v.Epoch
		answer.UnusedRetries = e.offer.RetryBudget
		a.counters.refuse(v.Reason)
		return a.conclude(now, e, answer, out), false
	}
}

// Done records that the backend server answered or failed. Outcome, Reason,
// Status, Header, Length, Digest and Unused of answer are the adapter's. An
// outcome of NotRun means that nothing of the call reached the backend server;
// with a status it can't be true, and counts as Complete. Runs that have ended
// otherwise are ignored.
func (a *Acceptor) Done(now time.Time, call message.CallID, attempt int, answer message.Answer, out []action.Action) []action.Action {
	a.adapt(now)
	e := a.entries.find(call, attempt)
	if e == nil || e.state != running {
		return out
	}
	if answer.Status != 0 && answer.Outcome == outcome.NotRun {
		answer.Outcome, answer.Reason = outcome.Complete, outcome.None
	}
	a.judge(now, e, &answer)
	a.leave(now, e, resultOf(&answer))
	kept := a.answers.take()
	*kept = answer
	out = a.conclude(now, e, kept, out)
	return a.dispatch(now, out)
}

// judge draws the conclusions about the request itself from its run.
func (a *Acceptor) judge(now time.Time, e *entry, answer *message.Answer) {
	switch {
	case answer.Outcome == outcome.Complete:
		a.counters.completed++
		a.routes.observe(now, e.route, now.Sub(e.started))
		if answer.Status < statusServerError {
			a.quarantine.Complete(now, e.request())
		}
	case answer.Reason == outcome.Crashed || answer.Reason == outcome.Broken:
		a.casualties.add(now, e.request())
	}
}

// leave takes e out of the running calls.
func (a *Acceptor) leave(now time.Time, e *entry, result limiter.Result) {
	a.running.Remove(e.handle)
	if e.children > 0 {
		a.limiter.EndWaiting()
	} else {
		a.limiter.End(now, result, now.Sub(e.resumed))
	}
	if e.alone {
		a.isolation.end(now)
	}
}

// conclude answers the caller of e, forgets e, and asks the guard again about
// calls that waited for its run.
func (a *Acceptor) conclude(now time.Time, e *entry, answer *message.Answer, out []action.Action) []action.Action {
	o, to, guarded := e.offer, e.from, e.guarded
	answer.Call, answer.Attempt = o.Call, o.Attempt
	a.describe(answer)
	a.entries.remove(e)
	out = append(out, action.Action{Kind: action.Answer, To: to, Offer: o, Answer: answer})
	if !guarded {
		return out
	}
	a.guard.Finish(now, o, answer)
	return a.unblock(now, o.Key, out)
}

// refuse answers that e was not run. If an earlier call with its key may have
// run, the answer is unknown.
func (a *Acceptor) refuse(now time.Time, e *entry, reason outcome.Reason, out []action.Action) []action.Action {
	a.counters.refuse(reason)
	answer := a.answers.take()
	answer.Outcome, answer.Reason = outcome.NotRun, reason
	answer.UnusedRetries = e.offer.RetryBudget
	if !e.offer.Repeatable && a.guard != nil && !a.guard.Fresh(now, e.offer) {
		answer.Outcome, answer.UnusedRetries = outcome.Unknown, 0
	}
	return a.conclude(now, e, answer, out)
}

// describe adds the state of the server to an answer.
func (a *Acceptor) describe(answer *message.Answer) {
	answer.Threshold = a.admission.Threshold()
	answer.InFlight = a.limiter.InFlight()
	answer.Limit = a.limiter.Limit()
}

// unblock lets the calls that wait for a run of key ask the guard again, or
// all blocked calls if key is empty.
func (a *Acceptor) unblock(now time.Time, key string, out []action.Action) []action.Action {
	first := len(a.scratch)
	for e := range a.blocked.Ascend {
		if key == "" || e.offer.Key == key {
			a.scratch = append(a.scratch, e)
		}
	}
	for _, e := range a.scratch[first:] {
		a.blocked.Remove(e.handle)
		if a.roomy() {
			out, _ = a.start(now, e, out)
			continue
		}
		a.enqueue(now, e)
	}
	a.scratch = a.scratch[:first]
	return out
}

func cancelOf(e *entry) message.Cancel {
	return message.Cancel{Call: e.offer.Call, Attempt: e.offer.Attempt}
}

// resultOf says what a run tells about the capacity of the backend server.
func resultOf(answer *message.Answer) limiter.Result {
	switch {
	case answer.Outcome == outcome.Complete && answer.Status == statusUnavailable:
		return limiter.Shed
	case answer.Outcome == outcome.Complete:
		return limiter.Served
	case answer.Reason == outcome.Expired:
		return limiter.TimedOut
	default:
		return limiter.Aborted
	}
}

func abortResult(reason outcome.Reason) limiter.Result {
	if reason == outcome.Expired {
		return limiter.TimedOut
	}
	return limiter.Aborted
}

const (
	// statusServerError is the lowest HTTP status by which a backend server fails a
	// request.
	statusServerError = 500
	// statusUnavailable is the HTTP status by which a backend server sheds load.
	statusUnavailable = 503
)
