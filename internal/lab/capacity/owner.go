package capacity

import (
	"time"

	"github.com/papayapath/papayapath/pkg/guard"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/ownership"
)

// takeover outlasts the wait of a new owner before it runs keys.
const takeover = 4 * time.Second

// owner drives the guard of a service of which it is the only owner.
type owner struct {
	*guard.Guard
	now     time.Time
	entries []ownership.Entry
	keys    int
}

// newOwner returns a guard that has run n keys.
func newOwner(n int) *owner {
	o := &owner{Guard: guard.New(id(self), serviceName(0)), now: start}
	o.Members(o.now, []instance.ID{id(self)})
	for end := start.Add(takeover); o.now.Before(end); o.now = o.now.Add(guard.TickInterval) {
		for _, e := range o.Tick(o.now) {
			o.perform(e)
		}
	}
	for range n {
		o.call()
	}
	return o
}

// perform plays the log.
func (o *owner) perform(e guard.Effect) {
	switch e.Kind {
	case guard.ReadLog:
		end := uint64(len(o.entries))
		o.Read(o.now, o.now, ownership.Batch{
			Generation: 1, From: e.From, Next: end, End: end, Entries: o.entries[min(e.From, end):],
		})
	case guard.AppendRecord:
		o.entries = append(o.entries, ownership.Entry{Offset: uint64(len(o.entries)), Record: e.Record})
		o.AppendDone(o.now, e.Record.ID, guard.Appended)
	default:
	}
}

// call offers a new key and ends its run. It reports whether the key ran.
func (o *owner) call() bool {
	o.keys++
	return o.run(&message.Offer{
		Service: serviceName(0), Customer: customerName(0), Key: keyAt(o.now, o.keys), Content: uint64(o.keys),
		Remaining: 100 * time.Millisecond, Epoch: o.epoch(),
	})
}

func (o *owner) epoch() uint64 {
	_, epoch := o.Owners()
	return epoch
}

func (o *owner) run(offer *message.Offer) bool {
	v := o.Offer(o.now, offer)
	if v.Decision != guard.Run {
		return false
	}
	o.Done(o.now, v.Ticket, &message.Answer{Outcome: outcome.Complete, Status: 200}, nil)
	return true
}
