package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/dispatcher"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// classes is the number of classes of calls in the customer's contract.
const classes = 20

// load drives a dispatcher with calls that are answered at once.
type load struct {
	*dispatcher.Dispatcher
	now      time.Time
	requests []*dispatcher.Request
	out      []action.Action
	answer   message.Answer
}

// newLoad makes a dispatcher that knows servers of services. Its calls are
// children of one run, or requests of a customer.
func newLoad(services, servers int, children bool) *load {
	var options []contract.Option
	for i := range min(services, classes) {
		class := contract.NewClass(fmt.Sprintf("service%d", i), "GET", "/", importance.Normal, true, time.Second)
		options = append(options, contract.WithClass(class))
	}
	l := &load{now: start, Dispatcher: dispatcher.New(id(0), dispatcher.WithContracts(terms(options...)))}
	parent := &message.Offer{
		Call: message.CallID{Node: id(1), Seq: 1}, Attempt: 1, Root: "r", Customer: "nobody",
		Remaining: 1000 * time.Hour, RetryBudget: 3,
	}
	for i := range servers {
		l.Join(l.now, id(i+1), fmt.Sprintf("service%d", i%services), "domain")
	}
	for i := range services {
		r := &dispatcher.Request{Service: fmt.Sprintf("service%d", i), Method: "GET", Path: "/", Customer: "quimper"}
		if children {
			r.Origin, r.Parent = dispatcher.Backend, parent
		}
		l.requests = append(l.requests, r)
	}
	if !children {
		l.requests = l.requests[:min(services, classes)]
	}
	return l
}

func (l *load) step(i int) {
	l.now = l.now.Add(100 * time.Microsecond)
	_, l.out = l.Arrive(l.now, l.requests[i%len(l.requests)], l.out[:0])
	a := l.out[0]
	l.answer = message.Answer{
		Call: a.Offer.Call, Attempt: a.Offer.Attempt, Outcome: outcome.Complete, Status: 200, Limit: 100,
		UnusedRetries: a.Offer.RetryBudget,
	}
	l.out = l.Answer(l.now, a.To, &l.answer, l.out[:0])
}

// Guards against allocations beyond the record of the call.
func TestCallAllocatesItsRecordOnly(t *testing.T) {
	l := newLoad(20, 100, true)
	for i := range 1000 {
		l.step(i)
	}
	require.LessOrEqual(t, testing.AllocsPerRun(1000, func() { l.step(1) }), 1.0)
}

func BenchmarkCall(b *testing.B) {
	for _, size := range []struct{ services, servers int }{{1, 3}, {100, 550}, {1300, 7200}} {
		for _, kind := range []string{"request", "child"} {
			b.Run(fmt.Sprintf("%s/services=%d/servers=%d", kind, size.services, size.servers), func(b *testing.B) {
				l := newLoad(size.services, size.servers, kind == "child")
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					l.step(i)
				}
			})
		}
	}
}
