package dispatcher

import (
	"container/heap"
	"time"

	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// noSlot marks a call that waits for no point in time.
const noSlot = -1

// Tick ends calls whose deadline has passed and sends attempts elsewhere that
// a silent server keeps waiting. Reports of demand are read by Demands.
func (d *Dispatcher) Tick(now time.Time, out []action.Action) []action.Action {
	for len(d.wakes) > 0 && !d.wakes[0].wake.After(now) {
		c := d.wakes[0]
		if !c.deadline.After(now) {
			d.stats.add(Expired)
			out = d.withdraw(now, c, outcome.Expired, out)
			continue
		}
		d.schedule(c, c.deadline)
		out = d.hasten(now, c, out)
	}
	d.forget(now)
	return out
}

// Next returns when Tick has something to do for a call, or false if no call
// is open.
func (d *Dispatcher) Next() (time.Time, bool) {
	if len(d.wakes) == 0 {
		return time.Time{}, false
	}
	return d.wakes[0].wake, true
}

// hasten retries an attempt at a server that has answered nothing since. If
// there is no budget or no other server, the attempt goes on.
func (d *Dispatcher) hasten(now time.Time, c *call, out []action.Action) []action.Action {
	if c.server == nil || !c.server.Silent(c.sent) {
		return out
	}
	t, ok := d.second(now, c)
	if !ok || t.server == c.server || !c.budget.Take() {
		return out
	}
	c.service.Hung(now, c.server, now.Sub(c.sent))
	c.unknown = true
	c.redirects = 0
	out = d.cancel(c, out)
	d.stats.add(Retries)
	d.again(now, c, t)
	return d.offer(c, out)
}

func (d *Dispatcher) schedule(c *call, wake time.Time) {
	c.wake = wake
	if c.slot == noSlot {
		heap.Push(&d.wakes, c)
		return
	}
	heap.Fix(&d.wakes, c.slot)
}

func (d *Dispatcher) unschedule(c *call) {
	if c.slot != noSlot {
		heap.Remove(&d.wakes, c.slot)
	}
}

// wakes is a heap of calls by the time at which each needs attention.
type wakes []*call

// Len implements heap.Interface.
func (w wakes) Len() int { return len(w) }

// Less implements heap.Interface.
func (w wakes) Less(i, j int) bool { return w[i].wake.Before(w[j].wake) }

// Swap implements heap.Interface.
func (w wakes) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].slot, w[j].slot = i, j
}

// Push implements heap.Interface.
func (w *wakes) Push(x any) {
	c := x.(*call)
	c.slot = len(*w)
	*w = append(*w, c)
}

// Pop implements heap.Interface.
func (w *wakes) Pop() any {
	last := len(*w) - 1
	c := (*w)[last]
	(*w)[last] = nil
	*w = (*w)[:last]
	c.slot = noSlot
	return c
}
