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
	d := &acceptorDriver{Acceptor: acceptor.New(id(measuredNode)), now: start}
	d.Announce(d.now, serviceName(0), serverSlots)
	for range executions {
		o := d.offer()
		d.out = d.BeginChild(d.now, o.Call, d.out[:0])
	}
	return d
}

// offer sends a new call to the acceptor and returns it.
func (d *acceptorDriver) offer() *message.Offer {
	d.now = d.now.Add(callInterval)
	d.seq++
	o := &message.Offer{
		Call: message.CallID{Node: id(0), Seq: d.seq}, Attempt: 1, Customer: customerName(0),
		Service: serviceName(0), Method: "GET", Path: "/", Content: d.seq,
		Priority: priority.Lowest(importance.Normal), Repeatable: true, Remaining: time.Hour, KeyAge: -1,
	}
	d.out = d.Offer(d.now, id(0), o, d.out[:0])
	return o
}

// call offers a call and completes its execution. It reports whether the call
// was executed.
func (d *acceptorDriver) call() bool {
	o := d.offer()
	ran := len(d.out) == 1 && d.out[0].Kind == action.Run
	d.now = d.now.Add(callInterval)
	answer := message.Answer{Outcome: outcome.Complete, Status: 200}
	d.out = d.Done(d.now, o.Call, 1, answer, d.out[:0])
	for _, a := range d.out {
		if a.Kind == action.Answer {
			d.Recycle(a.Answer)
		}
	}
	return ran
}
