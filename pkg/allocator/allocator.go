package allocator

import (
	"time"

	"github.com/papayapath/papayapath/pkg/term"
)

// Allocator grants tokens of the parts that its node holds. All times are readings of a
// clock that also counts the time for which the process is suspended.
//
// For the allocator, tokens count as used from the moment they are granted. The request
// to which they belong must be known to have been sent before; the node that sent it may
// use them until their validity has passed since then.
//
// An Allocator is not safe for concurrent use.
type Allocator struct {
	bounds    Bounds
	held      [term.Parts]bool
	customers map[string]*customer
}

// customer is the state of a customer's limit.
type customer struct {
	rate, burst float64 // over all parts
	limit       limit   // in each part
	buckets     [term.Parts]bucket
}

// New returns an allocator without customers that holds no part.
func New(bounds Bounds) *Allocator {
	return &Allocator{bounds: bounds.sane(), customers: map[string]*customer{}}
}

// Start begins to allocate a part, with empty buckets: the node that held it before may
// have granted all of its tokens. It is to be called for each new period of the term.
func (a *Allocator) Start(now time.Time, part int) {
	a.held[part] = true
	for _, c := range a.customers {
		c.buckets[part] = bucket{updated: now}
	}
}

// Stop ends the allocation of a part.
func (a *Allocator) Stop(part int) { a.held[part] = false }

// SetLimit sets the limit of a customer: a rate in requests a second and a burst. A new
// customer begins with empty buckets, and a lowered limit cuts the buckets at once.
func (a *Allocator) SetLimit(now time.Time, name string, rate, burst float64) {
	c, ok := a.customers[name]
	if !ok {
		c = &customer{}
		for i := range c.buckets {
			c.buckets[i].updated = now
		}
		a.customers[name] = c
	}
	if ok && c.rate == rate && c.burst == burst {
		return
	}
	old := c.limit
	c.rate, c.burst, c.limit = rate, burst, newLimit(a.bounds, rate, burst)
	for i := range c.buckets {
		b := &c.buckets[i]
		b.advance(now, old)
		b.tokens = min(b.tokens, c.limit.depth)
	}
}

// Retain forgets the customers for which keep returns false.
func (a *Allocator) Retain(keep func(customer string) bool) {
	for name := range a.customers {
		if !keep(name) {
			delete(a.customers, name)
		}
	}
}

// Grant returns how many of the wanted tokens of a part are granted, and how long they
// are valid from the sending of the request for them. If fewer are granted than wanted,
// wait is the time after which it makes sense to ask again. The validity is 0 if the
// part is not held or the customer is unknown: then nothing is known of its tokens.
//
// The term of the part has to be held at the given time.
func (a *Allocator) Grant(now time.Time, part int, name string, wanted int) (granted int, validity, wait time.Duration) {
	c, ok := a.customers[name]
	if !ok || part < 0 || part >= term.Parts || !a.held[part] {
		return 0, 0, 0
	}
	b := &c.buckets[part]
	b.advance(now, c.limit)
	granted = b.take(wanted)
	if granted < wanted {
		wait = b.wait(now, c.limit)
	}
	return granted, c.limit.validity, wait
}
