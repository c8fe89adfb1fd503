package dispatcher

import (
	"time"

	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// finish ends a call. It is the only place that appends an action.Finish.
func (d *Dispatcher) finish(c *call, a *message.Answer, out []action.Action) []action.Action {
	delete(d.calls, c.first.Call.Seq)
	d.unschedule(c)
	if c.proved {
		c.refund()
	}
	if c.root != nil {
		c.root.open--
		c.root.ran = c.root.ran || !c.proved
	}
	if p := c.parent; p != nil {
		p.dismiss(c)
		d.release(p)
	}
	d.stats.end(a)
	return append(out, action.Action{Kind: action.Finish, Answer: a})
}

// Cancel ends a call that its caller no longer waits for.
func (d *Dispatcher) Cancel(now time.Time, id message.CallID, out []action.Action) []action.Action {
	c, ok := d.find(id)
	if !ok {
		return out
	}
	return d.withdraw(now, c, outcome.Canceled, out)
}

// CancelChildren ends all open child calls of a run.
func (d *Dispatcher) CancelChildren(now time.Time, id message.CallID, out []action.Action) []action.Action {
	p, ok := d.parents[id]
	if !ok {
		return out
	}
	for c := p.oldest; c != nil; c = p.oldest {
		out = d.withdraw(now, c, outcome.Canceled, out)
	}
	return out
}

// withdraw ends a call whose attempt is still at a node. The attempt may have
// run, so its outcome is unknown, and its allotment does not come back.
func (d *Dispatcher) withdraw(now time.Time, c *call, reason outcome.Reason, out []action.Action) []action.Action {
	if c.server != nil {
		c.service.Abandoned(now, c.server, now.Sub(c.sent))
	}
	out = d.cancel(c, out)
	return d.finish(c, c.answer(outcome.Unknown, reason), out)
}
