package dispatcher

import (
	"strconv"
	"time"

	"github.com/papayapath/papayapath/pkg/budget"
	"github.com/papayapath/papayapath/pkg/message"
)

// rootID names a request of a customer. Two customers may use the same id.
type rootID struct {
	customer string
	request  string
}

// root is what the entry node remembers of a request for its resends.
type root struct {
	budget  budget.Budget
	content uint64
	since   time.Time
	open    int  // calls of the request that have not ended
	ran     bool // a call of the request may have run
}

// attachRoot gives the call of a request its budget. A call without a request
// id gets an id and a budget of its own, which nothing remembers.
func (d *Dispatcher) attachRoot(now time.Time, c *call, retries int) {
	if c.first.Root == "" {
		c.first.Root = d.ownRoot(now, c.first.Call.Seq)
		if c.issued.IsZero() {
			c.issued = now // no resend can carry this id, so it was issued now
		}
		c.own.budget = *budget.New(retries)
		c.root = &c.own
	} else {
		c.root = d.remember(now, c, retries)
		c.resend = c.root.content == c.first.Content && (c.root.ran || c.root.open > 0)
	}
	c.root.open++
	c.budget = &c.root.budget
}

// ownRoot returns the id of a request that came without one. It is a function
// of the call id and holds the time of issue, which the keys of child calls
// need.
func (d *Dispatcher) ownRoot(now time.Time, seq uint64) string {
	d.scratch = append(d.scratch[:0], d.prefix...)
	d.scratch = strconv.AppendUint(d.scratch, seq, 10)
	return message.KeyAt(now, d.scratch)
}

func (d *Dispatcher) remember(now time.Time, c *call, retries int) *root {
	id := rootID{customer: c.first.Customer, request: c.first.Root}
	// Peek leaves the table in order of first arrival, in which it expires.
	r, ok := d.roots.Peek(id)
	if ok && (r.open > 0 || now.Sub(r.since) < rootMemory) {
		return r
	}
	r = &root{budget: *budget.New(retries), content: c.first.Content, since: now}
	d.roots.Remove(id)
	d.roots.Add(id, r)
	return r
}

// forget removes requests that are older than the memory for resends.
func (d *Dispatcher) forget(now time.Time) {
	for {
		_, r, ok := d.roots.GetOldest()
		if !ok || now.Sub(r.since) < rootMemory {
			return
		}
		d.roots.RemoveOldest()
	}
}
