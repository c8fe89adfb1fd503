package dispatcher_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/dispatcher"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/priority"
)

const (
	retries  = 3
	deadline = time.Second
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func id(i int) instance.ID {
	address := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
	return instance.New(netip.AddrPortFrom(address, 7000), 1)
}

// contracts holds one contract, of the customer quimper.
type contracts struct{ terms *contract.Contract }

// Contract implements dispatcher.Contracts.
func (c contracts) Contract(customer string) (*contract.Contract, bool) {
	return c.terms, customer == c.terms.Customer()
}

func terms(options ...contract.Option) contracts {
	options = append([]contract.Option{
		contract.WithRate(1e6, 1e6),
		contract.WithRetries(retries),
		contract.WithKeyWindow(time.Minute),
		contract.WithClass(contract.NewClass("faces", "GET", "/", importance.Normal, true, deadline)),
		contract.WithClass(contract.NewClass("faces", "POST", "/", importance.Critical, false, deadline)),
	}, options...)
	return contracts{contract.New("quimper", options...)}
}

// owners is an owner table that a test changes.
type owners struct {
	id    instance.ID
	epoch uint64
	known bool
}

// Owner implements dispatcher.Owners.
func (o *owners) Owner(string, string) (instance.ID, uint64, bool) { return o.id, o.epoch, o.known }

// fixture is a dispatcher with the nodes 1 to n as servers of faces.
type fixture struct {
	*dispatcher.Dispatcher
	t      *testing.T
	now    time.Time
	owners *owners
}

func newFixture(t *testing.T, n int, options ...dispatcher.Option) *fixture {
	f := &fixture{t: t, now: start, owners: &owners{id: id(1), epoch: 1, known: true}}
	options = append([]dispatcher.Option{
		dispatcher.WithContracts(terms()), dispatcher.WithOwners(f.owners),
	}, options...)
	f.Dispatcher = dispatcher.New(id(0), options...)
	for i := range n {
		f.Join(f.now, id(i+1), "faces", "domain")
	}
	return f
}

func get(root string) *dispatcher.Request {
	return &dispatcher.Request{Service: "faces", Method: "GET", Path: "/1", Customer: "quimper", Root: root, Content: 5}
}

func post(key string, issued time.Time) *dispatcher.Request {
	return &dispatcher.Request{
		Service: "faces", Method: "POST", Path: "/1", Customer: "quimper", Key: key, Issued: issued, Content: 6,
	}
}

func child(parent *message.Offer, method string) *dispatcher.Request {
	return &dispatcher.Request{Origin: dispatcher.Backend, Service: "faces", Method: method, Path: "/c", Content: 7, Parent: parent}
}

// arrive lets a call arrive and returns the only action.
func (f *fixture) arrive(r *dispatcher.Request) action.Action {
	_, out := f.Arrive(f.now, r, nil)
	require.Len(f.t, out, 1)
	return out[0]
}

// offered requires that an action offers a call, and returns the offer.
func (f *fixture) offered(out ...action.Action) action.Action {
	require.NotEmpty(f.t, out)
	last := out[len(out)-1]
	require.Equal(f.t, action.Offer, last.Kind)
	return last
}

// ended requires that an action ends a call in a given way.
func (f *fixture) ended(o outcome.Outcome, reason outcome.Reason, out ...action.Action) {
	require.NotEmpty(f.t, out)
	last := out[len(out)-1]
	require.Equal(f.t, action.Finish, last.Kind)
	require.Equal(f.t, o, last.Answer.Outcome, last.Answer.Reason)
	require.Equal(f.t, reason, last.Answer.Reason)
}

// reply answers an offer.
func (f *fixture) reply(a action.Action, o outcome.Outcome, reason outcome.Reason, threshold priority.Priority) []action.Action {
	return f.Answer(f.now, a.To, &message.Answer{
		Call: a.Offer.Call, Attempt: a.Offer.Attempt, Outcome: o, Reason: reason,
		Status: 200, Threshold: threshold, Limit: 100, UnusedRetries: a.Offer.RetryBudget,
	}, nil)
}

func (f *fixture) complete(a action.Action) []action.Action {
	return f.reply(a, outcome.Complete, outcome.None, 0)
}

func (f *fixture) lost(a action.Action, sent bool) []action.Action {
	return f.Lost(f.now, a.To, a.Offer.Call, a.Offer.Attempt, sent, nil)
}
