package allocator

import (
	"time"

	"github.com/papayapath/papayapath/pkg/instance"
)

// expiry is the time between two searches for reports that no longer count.
const expiry = memory / 6

// report is the last demand of one node, in requests a second.
type report struct {
	demand float64
	at     time.Time
}

// customer holds the reports of one customer's nodes, with running totals so
// that a report costs the same at any number of nodes.
type customer struct {
	reports map[instance.ID]report
	total   float64 // demand of all nodes
	active  int     // nodes with demand
	expired time.Time
}

func (c *customer) set(id instance.ID, r report) {
	c.remove(id)
	c.reports[id] = r
	c.total += r.demand
	if r.demand > 0 {
		c.active++
	}
}

func (c *customer) remove(id instance.ID) {
	old, ok := c.reports[id]
	if !ok {
		return
	}
	delete(c.reports, id)
	c.total = max(c.total-old.demand, 0)
	if old.demand > 0 {
		c.active--
	}
	if c.active == 0 {
		c.total = 0 // ends the rounding errors of the running total
	}
}

func (c *customer) expire(now time.Time) {
	if now.Sub(c.expired) < expiry {
		return
	}
	c.expired = now
	for id, r := range c.reports {
		if now.Sub(r.at) > memory {
			c.remove(id)
		}
	}
}

// share returns the part of a node with the given demand. Above the
// contracted rate, parts are in proportion to demand; below it, what is left
// over is split evenly, so that each node has room to grow.
func (c *customer) share(demand, contracted float64) float64 {
	switch {
	case c.active == 0:
		return contracted
	case demand <= 0:
		return 0
	case c.total >= contracted:
		return contracted * demand / c.total
	}
	return demand + (contracted-c.total)/float64(c.active)
}
