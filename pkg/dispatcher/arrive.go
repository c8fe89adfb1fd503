package dispatcher

import (
	"net/http"
	"time"

	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/priority"
)

// Arrive takes a new call. It appends an action.Offer, or an action.Finish if
// the call is refused at once, and returns the id of the call.
func (d *Dispatcher) Arrive(now time.Time, r *Request, out []action.Action) (message.CallID, []action.Action) {
	c := d.open(r)
	d.stats.add(Arrived)
	id := c.first.Call
	if reason := d.prepare(now, c, r); reason != outcome.None {
		return id, d.finish(c, c.answer(outcome.NotRun, reason), out)
	}
	if reason := d.send(now, c); reason != outcome.None {
		return id, d.finish(c, c.answer(outcome.NotRun, reason), out)
	}
	return id, d.offer(c, out)
}

// open makes the record of a call with what the request tells directly.
func (d *Dispatcher) open(r *Request) *call {
	d.seq++
	c := &call{slot: noSlot}
	c.first = message.Offer{
		Call:     message.CallID{Node: d.self, Seq: d.seq},
		Root:     r.Root,
		Customer: r.Customer,
		Service:  r.Service,
		Method:   r.Method,
		Path:     r.Path,
		Header:   r.Header,
		Length:   r.Length,
		Digest:   r.Digest,
		Content:  r.Content,
		Key:      r.Key,
		KeyAge:   unknownAge,
		Trace:    r.Trace,
	}
	c.issued = r.Issued
	c.service = d.services[r.Service]
	c.route = d.route(message.RouteOf(r.Service, r.Method, r.Path), r.Service)
	c.budget = &d.nothing
	d.calls[d.seq] = c
	return c
}

func (d *Dispatcher) prepare(now time.Time, c *call, r *Request) outcome.Reason {
	switch {
	case r.Origin == Caller:
		return d.prepareRequest(now, c, r)
	case r.Parent == nil:
		d.prepareStray(now, c, r)
	default:
		d.prepareChild(now, c, r)
	}
	return outcome.None
}

// prepareRequest applies the customer's contract.
func (d *Dispatcher) prepareRequest(now time.Time, c *call, r *Request) outcome.Reason {
	terms, ok := d.contract(r.Customer)
	if !ok {
		return outcome.Forbidden
	}
	class, ok := terms.Class(r.Service, r.Method, r.Path)
	if !ok {
		return outcome.Forbidden
	}
	c.first.Repeatable = class.Repeatable()
	if reason := checkKey(now, c, terms); reason != outcome.None {
		return reason
	}
	d.attachRoot(now, c, terms.Retries())
	c.first.Priority = priority.New(class.Importance(), c.first.Root)
	c.deadline = now.Add(shorter(class.Deadline(), r.Timeout))
	return outcome.None
}

// prepareChild lets a child call inherit from the call that makes it.
func (d *Dispatcher) prepareChild(now time.Time, c *call, r *Request) {
	p := d.parentOf(now, r.Parent)
	p.adopt(c)
	c.first.Root = r.Parent.Root
	c.first.Customer = r.Parent.Customer
	c.first.Priority = r.Parent.Priority
	c.first.Repeatable = d.repeatable(r.Parent.Customer, r)
	c.deadline = p.deadline
	if !r.Deadline.IsZero() {
		c.deadline = r.Deadline
	}
	if r.Timeout > 0 {
		c.deadline = earlier(c.deadline, now.Add(r.Timeout))
	}
	if p.covers(r.Parent.Attempt) {
		c.budget = &p.budget
	}
	if r.Key == "" {
		c.issued = p.issued
	}
	if r.Key == "" && !c.first.Repeatable {
		c.first.Key = derive(r.Parent, r.Service, r.Content, p.identical(r.Content))
	}
}

// prepareStray takes a call of the own backend server that names no parent in
// flight. It has the lowest importance and no retries. A request id that it
// brings along is not trusted.
func (d *Dispatcher) prepareStray(now time.Time, c *call, r *Request) {
	c.first.Root = ""
	d.attachRoot(now, c, 0)
	c.budget = &d.nothing
	c.first.Priority = priority.New(importance.Background, c.first.Root)
	c.first.Repeatable = d.repeatable(r.Customer, r)
	c.deadline = now.Add(shorter(defaultDeadline, r.Timeout))
	if r.Key == "" && !c.first.Repeatable {
		c.first.Key = derive(&c.first, r.Service, r.Content, 0)
	}
}

// repeatable decides for a child call: by the contract if it lists the call,
// otherwise by the method.
func (d *Dispatcher) repeatable(customer string, r *Request) bool {
	if terms, ok := d.contract(customer); ok {
		if class, ok := terms.Class(r.Service, r.Method, r.Path); ok {
			return class.Repeatable()
		}
	}
	return r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
}

func (d *Dispatcher) contract(customer string) (*contract.Contract, bool) {
	if d.contracts == nil {
		return nil, false
	}
	return d.contracts.Contract(customer)
}

// shorter returns the shorter of a deadline and a wish, of which either may be
// missing.
func shorter(deadline, wish time.Duration) time.Duration {
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	if wish <= 0 {
		return deadline
	}
	return min(deadline, wish)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
