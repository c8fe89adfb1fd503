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
	d := &guardDriver{Guard: guard.New(id(measuredNode), serviceName(0)), now: start}
	d.Members(d.now, []instance.ID{id(measuredNode)})
	for end := start.Add(takeoverWait); d.now.Before(end); d.now = d.now.Add(guard.TickInterval) {
		for _, e := range d.Tick(d.now) {
			d.apply(e)
		}
	}
	for range n {
		d.call()
	}
	return d
}

// apply performs the reads and appends that the guard requests from the log.
func (d *guardDriver) apply(e guard.Effect) {
	switch e.Kind {
	case guard.ReadLog:
		end := uint64(len(d.entries))
		d.Read(d.now, d.now, ownership.Batch{
			Generation: 1, From: e.From, Next: end, End: end, Entries: d.entries[min(e.From, end):],
		})
	case guard.AppendRecord:
		d.entries = append(d.entries, ownership.Entry{Offset: uint64(len(d.entries)), Record: e.Record})
		d.AppendDone(d.now, e.Record.ID, guard.Appended)
	default:
	}
}

// call offers a new key and completes its execution. It reports whether the key
// was executed.
func (d *guardDriver) call() bool {
	d.keys++
	return d.run(&message.Offer{
		Service: serviceName(0), Customer: customerName(0), Key: newKey(d.now, d.keys), Content: uint64(d.keys),
		Remaining: 100 * time.Millisecond, Epoch: d.epoch(),
	})
}

func (d *guardDriver) epoch() uint64 {
	_, epoch := d.Owners()
	return epoch
}

func (d *guardDriver) run(offer *message.Offer) bool {
	v := d.Offer(d.now, offer)
	if v.Decision != guard.Run {
		return false
	}
	d.Done(d.now, v.Ticket, &message.Answer{Outcome: outcome.Complete, Status: 200}, nil)
	return true
}
