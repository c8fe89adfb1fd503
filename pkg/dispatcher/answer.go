package dispatcher

import (
	"time"

	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// Answer takes the answer of a node to an attempt. An answer to an attempt
// that is not the current one, or from a node that was not asked, changes
// nothing.
func (d *Dispatcher) Answer(now time.Time, from instance.ID, a *message.Answer, out []action.Action) []action.Action {
	c, ok := d.find(a.Call)
	if !ok || !c.current(from, a.Attempt) {
		d.stats.add(Late)
		return out
	}
	if c.server != nil {
		c.service.Answered(now, c.server, c.offer.Priority, now.Sub(c.sent), a)
	}
	c.route.learn(now, now.Sub(c.sent), a)
	switch a.Outcome {
	case outcome.Complete:
		c.budget.Return(a.UnusedRetries, c.allotment)
		return d.finish(c, a, out)
	case outcome.NotRun:
		// Under Epoch the node says that it is not the owner.
		c.vouched = a.Reason != outcome.Epoch
		return d.redirect(now, c, a.Reason, out)
	}
	c.budget.Return(a.UnusedRetries, c.allotment)
	return d.retry(now, c, a.Reason, out)
}

// Lost tells that the stream of an attempt failed. sent is false only if
// provably nothing was handed over to the node.
func (d *Dispatcher) Lost(now time.Time, to instance.ID, id message.CallID, attempt int, sent bool, out []action.Action) []action.Action {
	c, ok := d.find(id)
	if !ok || !c.current(to, attempt) {
		d.stats.add(Late)
		return out
	}
	if c.server != nil {
		c.service.Failed(now, c.server, sent)
	}
	if sent {
		return d.retry(now, c, outcome.Broken, out)
	}
	return d.redirect(now, c, outcome.Unavailable, out)
}

func (d *Dispatcher) find(id message.CallID) (*call, bool) {
	if id.Node != d.self {
		return nil, false
	}
	c, ok := d.calls[id.Seq]
	return c, ok
}

// redirect follows a proof that the attempt was not run. It returns the whole
// allotment, since a call that did not run made no child calls, and costs no
// retry.
func (d *Dispatcher) redirect(now time.Time, c *call, reason outcome.Reason, out []action.Action) []action.Action {
	c.budget.Return(c.allotment, c.allotment)
	c.allotment = 0
	if final(reason) || c.redirects >= maxRedirects {
		return d.finish(c, c.answer(outcome.NotRun, reason), out)
	}
	c.exclude(c.server)
	t, refusal := d.choose(now, c)
	if refusal != outcome.None || !c.elsewhere(t) {
		return d.finish(c, c.answer(outcome.NotRun, reason), out)
	}
	c.redirects++
	d.stats.add(Redirects)
	d.again(now, c, t)
	return d.offer(c, out)
}

// elsewhere reports whether a target differs from that of the attempt that was
// just refused. The owner of a key is asked again only under a newer epoch.
func (c *call) elsewhere(t target) bool { return t.id != c.to || t.epoch != c.offer.Epoch }

// final reports whether every server would refuse for the same reason.
func final(reason outcome.Reason) bool {
	switch reason {
	case outcome.Rate, outcome.Forbidden, outcome.Malformed, outcome.Conflict, outcome.Stale,
		outcome.Suspect, outcome.Canceled, outcome.TooLarge:
		return true
	}
	return false
}

// retry follows an attempt that may have run. It costs one from the budget,
// and nothing if the service refuses the call.
func (d *Dispatcher) retry(now time.Time, c *call, reason outcome.Reason, out []action.Action) []action.Action {
	c.unknown = true
	c.allotment = 0
	if reason == outcome.Crashed {
		c.crashes++
	}
	t, ok := d.second(now, c)
	if !ok || !c.budget.Take() {
		return d.finish(c, c.answer(outcome.Unknown, reason), out)
	}
	c.redirects = 0
	d.stats.add(Retries)
	d.again(now, c, t)
	return d.offer(c, out)
}

// second chooses the server for a retry. The server of the failed attempt is
// chosen only if there is no other. If there is none at all, the state of the
// current attempt stays as it is.
func (d *Dispatcher) second(now time.Time, c *call) (target, bool) {
	if !c.first.Repeatable || c.budget.Remaining() == 0 {
		return target{}, false
	}
	tries, tried := c.tries, c.tried
	c.tries = 0
	c.exclude(c.server)
	t, refusal := d.choose(now, c)
	if refusal == outcome.Unavailable {
		c.tries = 0
		t, refusal = d.choose(now, c)
	}
	if refusal != outcome.None {
		c.tries, c.tried = tries, tried
		return target{}, false
	}
	return t, true
}
