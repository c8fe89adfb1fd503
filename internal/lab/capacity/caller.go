package capacity

import (
	"time"

	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/dispatcher"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// spacing is the virtual time between two calls.
const spacing = 100 * time.Microsecond

// caller drives a dispatcher with requests of customers.
type caller struct {
	*dispatcher.Dispatcher
	now      time.Time
	requests []dispatcher.Request
	next     int
	out      []action.Action
}

// newCaller returns a dispatcher that knows servers and customers.
func newCaller(servers, customers int) *caller {
	services := servicesOf(servers)
	c := &caller{
		Dispatcher: dispatcher.New(id(self), dispatcher.WithContracts(newContracts(customers, services))),
		now:        start,
	}
	for i := range servers {
		c.Join(c.now, id(i), serviceName(i%services), domainName(i))
	}
	for i := range customers * classes {
		customer := i / classes
		c.requests = append(c.requests, dispatcher.Request{
			Service: serviceName((customer + i%classes) % services), Method: "GET", Path: "/", Customer: customerName(customer),
		})
	}
	return c
}

// arrive lets the next request arrive and returns its offer, if any.
func (c *caller) arrive() (action.Action, bool) {
	c.now = c.now.Add(spacing)
	r := &c.requests[c.next%len(c.requests)]
	c.next++
	_, c.out = c.Arrive(c.now, r, c.out[:0])
	if len(c.out) == 0 || c.out[0].Kind != action.Offer {
		return action.Action{}, false
	}
	return c.out[0], true
}

// call lets a request arrive and answers it. It reports whether it was sent.
func (c *caller) call() bool {
	a, ok := c.arrive()
	if !ok {
		return false
	}
	answer := message.Answer{
		Call: a.Offer.Call, Attempt: a.Offer.Attempt, Outcome: outcome.Complete, Status: 200,
		Limit: 100, UnusedRetries: a.Offer.RetryBudget,
	}
	c.out = c.Answer(c.now, a.To, &answer, c.out[:0])
	return true
}
