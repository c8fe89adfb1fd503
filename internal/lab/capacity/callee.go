package capacity

import (
	"time"

	"github.com/papayapath/papayapath/pkg/acceptor"
	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/priority"
)

// slots is more than the measurements use at once.
const slots = 100_000

// callee drives an acceptor.
type callee struct {
	*acceptor.Acceptor
	now time.Time
	seq uint64
	out []action.Action
}

// newCallee returns an acceptor with runs that wait for child calls.
func newCallee(runs int) *callee {
	c := &callee{Acceptor: acceptor.New(id(self)), now: start}
	c.Announce(c.now, serviceName(0), slots)
	for range runs {
		o := c.offer()
		c.out = c.BeginChild(c.now, o.Call, c.out[:0])
	}
	return c
}

// offer offers a new call to the acceptor.
func (c *callee) offer() *message.Offer {
	c.now = c.now.Add(spacing)
	c.seq++
	o := &message.Offer{
		Call: message.CallID{Node: id(0), Seq: c.seq}, Attempt: 1, Customer: customerName(0),
		Service: serviceName(0), Method: "GET", Path: "/", Content: c.seq,
		Priority: priority.Lowest(importance.Normal), Repeatable: true, Remaining: time.Hour, KeyAge: -1,
	}
	c.out = c.Offer(c.now, id(0), o, c.out[:0])
	return o
}

// call offers a call and ends its run. It reports whether it ran.
func (c *callee) call() bool {
	o := c.offer()
	ran := len(c.out) == 1 && c.out[0].Kind == action.Run
	c.now = c.now.Add(spacing)
	answer := message.Answer{Outcome: outcome.Complete, Status: 200}
	c.out = c.Done(c.now, o.Call, 1, answer, c.out[:0])
	for _, a := range c.out {
		if a.Kind == action.Answer {
			c.Recycle(a.Answer)
		}
	}
	return ran
}
