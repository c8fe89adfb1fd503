package dispatcher_test

import (
	"math/rand/v2"
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

// Guards against a late answer of attempt 1 that ends attempt 2, and against
// an answer of a node that was not asked.
func TestLateAnswerChangesNothing(t *testing.T) {
	for _, servers := range []int{1, 3} {
		f := newFixture(t, servers)
		first := f.offered(f.arrive(get("")))
		second := f.offered(f.lost(first, true)...)
		require.Equal(t, 2, second.Offer.Attempt)
		require.Equal(t, servers == 1, first.To == second.To, "another server if there is one")
		require.Equal(t, 1, first.Offer.Attempt, "the first offer may still be on its way")
		require.Empty(t, f.complete(first))
		require.Empty(t, f.lost(first, false))
		stranger := second
		stranger.To = id(9)
		require.Empty(t, f.complete(stranger))
		require.Equal(t, 1, f.Open())
		f.ended(outcome.Complete, outcome.None, f.complete(second)...)
		require.Empty(t, f.complete(second), "one end only")
	}
}

// Guards against a second run of a call that may have run, and against a
// retry that is charged although nothing was handed over.
func TestLostStream(t *testing.T) {
	f := newFixture(t, 4)
	out := f.offered(f.arrive(get("")))
	for range 3 {
		next := f.offered(f.lost(out, false)...)
		require.Equal(t, out.Offer.RetryBudget, next.Offer.RetryBudget, "a redirect costs nothing")
		require.NotEqual(t, out.To, next.To)
		out = next
	}
	f.ended(outcome.NotRun, outcome.Unavailable, f.lost(out, false)...)

	f = newFixture(t, 4)
	f.ended(outcome.Unknown, outcome.Broken, f.lost(f.offered(f.arrive(post("k", start))), true)...)
	// An earlier send of the key, through another node, may have run.
	f.ended(outcome.Unknown, outcome.Unavailable, f.lost(f.offered(f.arrive(post("l", start))), false)...)
	require.Zero(t, f.Stats().Count(dispatcher.Retries))
}

// Guards against more than 3 redirects of an attempt, against a retry that has
// none, and against a refusal as not run after an attempt that may have run.
func TestRedirectsAreBounded(t *testing.T) {
	f := newFixture(t, 9)
	out := f.offered(f.arrive(get("")))
	for range 3 {
		out = f.offered(f.reply(out, outcome.NotRun, outcome.Overload, 0)...)
	}
	out = f.offered(f.reply(out, outcome.Unknown, outcome.Crashed, 0)...)
	for range 3 {
		out = f.offered(f.reply(out, outcome.NotRun, outcome.Draining, 0)...)
	}
	f.ended(outcome.Unknown, outcome.Overload, f.reply(out, outcome.NotRun, outcome.Overload, 0)...)
	require.EqualValues(t, 6, f.Stats().Count(dispatcher.Redirects))
	require.EqualValues(t, 1, f.Stats().Count(dispatcher.Retries))
}

// Guards against redirects and retries into a service of which every server
// refuses the call.
func TestRefusingServiceStopsRetries(t *testing.T) {
	above := priority.Lowest(importance.High)
	for _, sent := range []bool{false, true} {
		f := newFixture(t, 3)
		open := map[instance.ID]action.Action{}
		for len(open) < 3 {
			out := f.offered(f.arrive(get("")))
			open[out.To] = out
		}
		offered := f.Stats().Count(dispatcher.Offered)
		f.reply(open[id(1)], outcome.Complete, outcome.None, above)
		f.reply(open[id(2)], outcome.Complete, outcome.None, above)
		if sent {
			f.ended(outcome.Unknown, outcome.Crashed, f.reply(open[id(3)], outcome.Unknown, outcome.Crashed, above)...)
		} else {
			f.ended(outcome.NotRun, outcome.Overload, f.reply(open[id(3)], outcome.NotRun, outcome.Overload, above)...)
		}
		require.Equal(t, offered, f.Stats().Count(dispatcher.Offered))
		f.ended(outcome.NotRun, outcome.Overload, f.arrive(get("")))
		floor, _, ok := f.Threshold(f.now, "faces")
		require.True(t, ok)
		require.Equal(t, above, floor)
		f.now = f.now.Add(600 * time.Millisecond)
		f.offered(f.arrive(get("")))
	}
}

// Guards against a key that is sent to a server that does not own it, and
// against endless redirects between two epochs.
func TestOwnerIsFollowed(t *testing.T) {
	f := newFixture(t, 3)
	out := f.offered(f.arrive(post("k", start)))
	require.Equal(t, id(1), out.To)
	require.EqualValues(t, 1, out.Offer.Epoch)
	f.owners.id, f.owners.epoch = id(2), 2
	out = f.offered(f.reply(out, outcome.NotRun, outcome.Epoch, 0)...)
	require.Equal(t, id(2), out.To)
	require.EqualValues(t, 2, out.Offer.Epoch)
	// Only the owner knows whether an earlier send of the key has run.
	f.ended(outcome.Unknown, outcome.Epoch, f.reply(out, outcome.NotRun, outcome.Epoch, 0)...)
	f.Suspect(f.now, id(2))
	f.ended(outcome.Unknown, outcome.Unavailable, f.arrive(post("l", start)))
	f.Restore(f.now, id(2))
	f.ended(outcome.NotRun, outcome.Overload, f.reply(f.offered(f.arrive(post("m", start))), outcome.NotRun, outcome.Overload, 0)...)
	f.Drain(f.now, id(2))
	f.ended(outcome.Unknown, outcome.Draining, f.arrive(post("l", start)))
	f.owners.known = false
	f.ended(outcome.Unknown, outcome.Unavailable, f.arrive(post("l", start)))
}

// Guards against a call that goes on after its caller has gone.
func TestCancel(t *testing.T) {
	f := newFixture(t, 3)
	out := f.offered(f.arrive(get("")))
	actions := f.Cancel(f.now, out.Offer.Call, nil)
	require.Len(t, actions, 2)
	require.Equal(t, action.Cancel, actions[0].Kind)
	require.Equal(t, out.To, actions[0].To)
	require.Equal(t, message.Cancel{Call: out.Offer.Call, Attempt: 1}, actions[0].Cancel)
	f.ended(outcome.Unknown, outcome.Canceled, actions...)
	require.Empty(t, f.Cancel(f.now, out.Offer.Call, nil))

	parent := &message.Offer{Call: message.CallID{Node: id(5), Seq: 1}, Attempt: 1, Remaining: time.Second}
	for range 3 {
		f.arrive(child(parent, "GET"))
	}
	f.arrive(get(""))
	f.ParentDone(parent.Call)
	require.Equal(t, 1, f.Parents())
	require.Len(t, f.CancelChildren(f.now, parent.Call, nil), 6)
	require.Equal(t, 1, f.Open())
	require.Zero(t, f.Parents(), "no record is left behind")
}

// Guards against a call that waits beyond its deadline, or that is sent
// although its answer can't come in time.
func TestDeadline(t *testing.T) {
	f := newFixture(t, 2)
	r := get("")
	r.Timeout = 300 * time.Millisecond
	out := f.offered(f.arrive(r))
	require.Less(t, out.Offer.Remaining, r.Timeout)
	next, ok := f.Next()
	require.True(t, ok)
	require.False(t, next.After(f.now.Add(r.Timeout)))
	f.now = f.now.Add(50 * time.Millisecond)
	again := f.offered(f.lost(out, true)...)
	require.Less(t, again.Offer.Remaining, out.Offer.Remaining-40*time.Millisecond, "deadlines shrink")
	f.now = f.now.Add(251 * time.Millisecond)
	actions := f.Tick(f.now, nil)
	require.Len(t, actions, 2)
	f.ended(outcome.Unknown, outcome.Expired, actions...)
	require.Zero(t, f.Open())

	f.offered(f.arrive(get("")))
	out = f.offered(f.arrive(get("")))
	f.now = f.now.Add(400 * time.Millisecond)
	f.complete(out)
	f.ended(outcome.NotRun, outcome.Expired, f.arrive(r))
	f.now = f.now.Add(2 * time.Second)
	f.offered(f.arrive(r))
}

// Guards against a hung server that keeps a call until its deadline, and
// against retries at a server that is only slow.
func TestHungServer(t *testing.T) {
	for _, alive := range []bool{false, true} {
		f := newFixture(t, 2)
		for range 20 {
			out := f.offered(f.arrive(get("")))
			f.now = f.now.Add(5 * time.Millisecond)
			f.complete(out)
		}
		hung := f.offered(f.arrive(get("")))
		same := f.offered(f.arrive(get("")))
		for same.To != hung.To {
			same = f.offered(f.arrive(get("")))
		}
		if alive {
			f.now = f.now.Add(20 * time.Millisecond)
			f.complete(same)
		}
		f.now = f.now.Add(100 * time.Millisecond)
		canceled, moved := 0, 0
		for _, a := range f.Tick(f.now, nil) {
			switch {
			case a.Kind == action.Cancel && a.Cancel.Call == hung.Offer.Call:
				canceled++
				require.Equal(t, hung.To, a.To)
			case a.Kind == action.Offer && a.Offer.Call == hung.Offer.Call:
				moved++
				require.NotEqual(t, hung.To, a.To)
			}
		}
		require.Equal(t, alive, moved == 0)
		require.Equal(t, moved, canceled, "the old attempt is withdrawn")
	}
}

// Guards against a call that ends twice or never, whatever happens in
// whatever order.
func TestEveryCallEndsOnce(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 5))
		f := newFixture(t, 4, dispatcher.WithRandom(random), dispatcher.WithContracts(terms(contract.WithRate(200, 20))))
		ends := map[message.CallID]int{}
		var offers []action.Action
		take := func(out []action.Action) {
			for _, a := range out {
				switch a.Kind {
				case action.Offer:
					offers = append(offers, a)
				case action.Finish:
					ends[a.Answer.Call]++
				}
			}
		}
		for range 300 {
			f.now = f.now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
			take(f.event(random, offers))
		}
		f.now = f.now.Add(time.Hour)
		take(f.Tick(f.now, nil))
		require.Zero(t, f.Open())
		require.Len(t, ends, int(f.Stats().Count(dispatcher.Arrived)))
		for call, n := range ends {
			require.Equal(t, 1, n, "seed %d, call %s", seed, call)
		}
	}
}

// event lets one random thing happen to the dispatcher.
func (f *fixture) event(random *rand.Rand, offers []action.Action) []action.Action {
	server := id(1 + random.IntN(4))
	parent := &message.Offer{
		Call: message.CallID{Node: id(5), Seq: uint64(random.IntN(5))}, Attempt: 1 + random.IntN(2),
		RetryBudget: 2, Remaining: 100 * time.Millisecond,
	}
	requests := []*dispatcher.Request{get(""), get("r"), post("k", f.now), child(parent, "GET"), child(parent, "POST"), child(nil, "GET")}
	kind := random.IntN(12)
	if kind < 4 || len(offers) == 0 {
		_, out := f.Arrive(f.now, requests[random.IntN(len(requests))], nil)
		return out
	}
	a := offers[random.IntN(len(offers))]
	switch kind {
	case 4, 5:
		return f.reply(a, outcome.Outcome(random.IntN(3)), outcome.Reason(random.IntN(20)), priority.Priority(random.IntN(600)))
	case 6:
		return f.lost(a, random.IntN(2) == 0)
	case 7:
		return f.Cancel(f.now, a.Offer.Call, nil)
	case 8:
		return f.CancelChildren(f.now, parent.Call, nil)
	case 9:
		f.ParentDone(parent.Call)
	case 10:
		[]func(time.Time, instance.ID){f.Drain, f.Leave, f.Suspect, f.Restore}[random.IntN(4)](f.now, server)
		f.Join(f.now, server, "faces", "domain")
	}
	return f.Tick(f.now, nil)
}
