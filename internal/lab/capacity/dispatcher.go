package capacity

import (
	"time"

	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/dispatcher"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// callInterval is the virtual time between two calls.
const callInterval = 100 * time.Microsecond

// dispatcherDriver drives a dispatcher with customer requests under virtual time.
type dispatcherDriver struct {
	*dispatcher.Dispatcher
	now      time.Time
	requests []dispatcher.Request
	next     int
	out      []action.Action
}

// newDispatcherDriver returns a dispatcher with the given numbers of servers and
// customers.
func newDispatcherDriver(servers, customers int) *dispatcherDriver {
	services := servicesOf(servers)
	d := &dispatcherDriver{
		Dispatcher: dispatcher.New(id(measuredNode), dispatcher.WithContracts(newContracts(customers, services))),
		now:        start,
	}
	for i := range servers {
		d.Join(d.now, id(i), serviceName(i%services), domainName(i))
	}
	for i := range customers * callsPerContract {
		customer := i / callsPerContract
		d.requests = append(d.requests, dispatcher.Request{
			Service: serviceName((customer + i%callsPerContract) % services), Method: "GET", Path: "/", Customer: customerName(customer),
		})
	}
	return d
}

// arrive passes the next request to the dispatcher and returns its offer, if any.
func (d *dispatcherDriver) arrive() (action.Action, bool) {
	d.now = d.now.Add(callInterval)
	r := &d.requests[d.next%len(d.requests)]
	d.next++
	_, d.out = d.Arrive(d.now, r, d.out[:0])
	if len(d.out) == 0 || d.out[0].Kind != action.Offer {
		return action.Action{}, false
	}
	return d.out[0], true
}

// call dispatches a request and answers it. It reports whether the request was
// sent to a server.
func (d *dispatcherDriver) call() bool {
	a, ok := d.arrive()
	if !ok {
		return false
	}
	answer := message.Answer{
		Call: a.Offer.Call, Attempt: a.Offer.Attempt, Outcome: outcome.Complete, Status: 200,
		Limit: 100, UnusedRetries: a.Offer.RetryBudget,
	}
	d.out = d.Answer(d.now, a.To, &answer, d.out[:0])
	return true
}
