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

// serverSlots exceeds the number of concurrent calls in every measurement.
const serverSlots = 100_000

// acceptorDriver drives an acceptor under virtual time.
type acceptorDriver struct {
	*acceptor.Acceptor
	now time.Time
	seq uint64
	out []action.Action
}

// newAcceptorDriver returns an acceptor with executions that wait for child
// calls.
func newAcceptorDriver(executions int) *acceptorDriver {
	c := &acceptorDriver{Acceptor: acceptor.New(id(measuredNode)), now: start}
	c.Announce(c.now, serviceName(0), serverSlots)
	for range executions {
		o := c.offer()
		c.out = c.BeginChild(c.now, o.Call, c.out[:0])
	}
	return c
}

// offer sends a new call to the acceptor and returns it.
func (c *acceptorDriver) offer() *message.Offer {
	c.now = c.now.Add(callInterval)
	c.seq++
	o := &message.Offer{
		Call: message.CallID{Node: id(0), Seq: c.seq}, Attempt: 1, Customer: customerName(0),
		Service: serviceName(0), Method: "GET", Path: "/", Content: c.seq,
		Priority: priority.Lowest(importance.Normal), Repeatable: true, Remaining: time.Hour, KeyAge: -1,
	}
	c.out = c.Offer(c.now, id(0), o, c.out[:0])
	return o
}

// call offers a call and completes its execution. It reports whether the call
// was executed.
func (c *acceptorDriver) call() bool {
	o := c.offer()
	ran := len(c.out) == 1 && c.out[0].Kind == action.Run
	c.now = c.now.Add(callInterval)
	answer := message.Answer{Outcome: outcome.Complete, Status: 200}
	c.out = c.Done(c.now, o.Call, 1, answer, c.out[:0])
	for _, a := range c.out {
		if a.Kind == action.Answer {
			c.Recycle(a.Answer)
		}
	}
	return ran
}
