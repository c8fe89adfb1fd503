package capacity

import (
	"time"

	"github.com/papayapath/papayapath/pkg/guard"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/ownership"
)

// takeoverWait exceeds the time for which a new owner delays the first keys.
const takeoverWait = 4 * time.Second

// guardDriver drives the guard of a service with a single owner.
type guardDriver struct {
	*guard.Guard
	now     time.Time
	entries []ownership.Entry
	keys    int
}

// newGuardDriver returns a guard that has executed n keys.
func newGuardDriver(n int) *guardDriver {
	o := &guardDriver{Guard: guard.New(id(measuredNode), serviceName(0)), now: start}
	o.Members(o.now, []instance.ID{id(measuredNode)})
	for end := start.Add(takeoverWait); o.now.Before(end); o.now = o.now.Add(guard.TickInterval) {
		for _, e := range o.Tick(o.now) {
			o.apply(e)
		}
	}
	for range n {
		o.call()
	}
	return o
}

// apply performs the reads and appends that the guard requests from the log.
func (o *guardDriver) apply(e guard.Effect) {
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

// call offers a new key and completes its execution. It reports whether the key
// was executed.
func (o *guardDriver) call() bool {
	o.keys++
	return o.run(&message.Offer{
		Service: serviceName(0), Customer: customerName(0), Key: newKey(o.now, o.keys), Content: uint64(o.keys),
		Remaining: 100 * time.Millisecond, Epoch: o.epoch(),
	})
}

func (o *guardDriver) epoch() uint64 {
	_, epoch := o.Owners()
	return epoch
}

func (o *guardDriver) run(offer *message.Offer) bool {
	v := o.Offer(o.now, offer)
	if v.Decision != guard.Run {
		return false
	}
	o.Done(o.now, v.Ticket, &message.Answer{Outcome: outcome.Complete, Status: 200}, nil)
	return true
}
