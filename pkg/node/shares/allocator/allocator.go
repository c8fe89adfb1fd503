package allocator

import (
	"time"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
)

// memory is how long the last report of a node counts. Nodes report once a
// second, so it allows for two lost reports.
const memory = 3 * time.Second

// Allocator keeps the demand that nodes report and answers with shares. It
// serves all customers that rendezvous hashing assigns to its node.
type Allocator struct {
	customers map[string]*customer
}

// New returns an allocator that knows of no demand.
func New() *Allocator { return &Allocator{customers: map[string]*customer{}} }

// Report takes over the demand of a node and returns the node's share of the
// customer's contracted rate, in requests a second. The shares of all nodes
// together do not exceed the rate once each node has reported again.
func (a *Allocator) Report(now time.Time, from instance.ID, m message.Demand, contracted float64) message.Share {
	c, ok := a.customers[m.Customer]
	if !ok {
		c = &customer{reports: map[instance.ID]report{}}
		a.customers[m.Customer] = c
	}
	c.expire(now)
	c.set(from, report{demand: max(m.Rate, 0), at: now})
	return message.Share{
		Customer: m.Customer,
		Rate:     c.share(max(m.Rate, 0), contracted),
		Nodes:    c.active,
	}
}

// Tick drops customers of which no node has reported for some seconds.
func (a *Allocator) Tick(now time.Time) {
	for name, c := range a.customers {
		c.expire(now)
		if len(c.reports) == 0 {
			delete(a.customers, name)
		}
	}
}

// Customers returns the number of customers with reported demand.
func (a *Allocator) Customers() int { return len(a.customers) }
