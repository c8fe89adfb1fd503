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
	"github.com/papayapath/papayapath/pkg/priority"
)

// Guards against a call that is sent although the contract forbids it.
func TestRefusalsByContract(t *testing.T) {
	unknown, unlisted := get(""), get("")
	unknown.Customer = "brest"
	unlisted.Method = "DELETE"
	for reason, requests := range map[outcome.Reason][]*dispatcher.Request{
		outcome.Forbidden: {unknown, unlisted},
		outcome.Malformed: {post("", start)},
		outcome.Stale:     {post("k", start.Add(-time.Hour)), post("k", start.Add(time.Second))},
		outcome.None:      {get(""), post("k", start), post("k", start.Add(150*time.Millisecond)), post("k", time.Time{})},
	} {
		for _, r := range requests {
			f := newFixture(t, 2)
			if out := f.arrive(r); reason == outcome.None {
				f.offered(out)
				require.Equal(t, 1, f.Open())
			} else {
				// A key outside of its window may have run inside of it.
				want := outcome.NotRun
				if reason == outcome.Stale {
					want = outcome.Unknown
				}
				f.ended(want, reason, out)
				require.Zero(t, f.Open())
			}
		}
	}
}

// Guards against a child that outlives its parent, outranks it or spends more
// than its parent was given, and against a run that loses its allotment.
func TestChildInherits(t *testing.T) {
	f := newFixture(t, 2)
	parent := &message.Offer{
		Call: message.CallID{Node: id(5), Seq: 1}, Attempt: 1, Root: "r", Customer: "quimper",
		Priority: 777, Remaining: 100 * time.Millisecond, RetryBudget: 3, KeyAge: time.Second, Key: "p",
	}
	f.ParentStart(f.now, parent)
	f.now = f.now.Add(30 * time.Millisecond)
	first := f.offered(f.arrive(child(parent, "GET"))).Offer
	require.Equal(t, "r", first.Root)
	require.Equal(t, "quimper", first.Customer)
	require.Equal(t, priority.Priority(777), first.Priority)
	require.Less(t, first.Remaining, 70*time.Millisecond)
	require.Greater(t, first.Remaining, 60*time.Millisecond)
	require.Equal(t, 2, first.RetryBudget)
	require.True(t, first.Repeatable)
	second := f.offered(f.arrive(child(parent, "GET"))).Offer
	require.Equal(t, 1, second.RetryBudget)
	require.Zero(t, f.ParentDone(parent.Call), "all is out with the children")
	late := f.offered(f.arrive(child(parent, "GET"))).Offer
	require.Zero(t, late.RetryBudget, "the run has ended")
	again := *parent
	again.Attempt = 2
	f.ParentStart(f.now, &again)
	require.Equal(t, 3, f.ParentDone(parent.Call), "a newer attempt brings its own")
	require.Zero(t, f.ParentDone(parent.Call), "it returns once")
}

// Guards against a call without a known parent that retries or crowds out
// others, and against a request id that it makes up.
func TestStrayCall(t *testing.T) {
	f := newFixture(t, 3)
	r := child(nil, "GET")
	r.Root, r.Customer = "r", "quimper"
	out := f.offered(f.arrive(r))
	require.Equal(t, importance.Background, out.Offer.Priority.Level())
	require.Zero(t, out.Offer.RetryBudget)
	require.NotEqual(t, "r", out.Offer.Root)
	f.ended(outcome.Unknown, outcome.Broken, f.lost(out, true)...)
}

// Guards against a child call that changes the backend server and runs again.
func TestRepeatableByMethod(t *testing.T) {
	f := newFixture(t, 2, dispatcher.WithContracts(terms(
		contract.WithClass(contract.NewClass("faces", "PUT", "/c", importance.Normal, true, time.Second)),
	)))
	parent := &message.Offer{Call: message.CallID{Node: id(5), Seq: 1}, Attempt: 1, Customer: "nobody", Remaining: time.Second}
	for method, want := range map[string]bool{"GET": true, "HEAD": true, "OPTIONS": true, "POST": false, "PUT": false, "DELETE": false} {
		require.Equal(t, want, f.offered(f.arrive(child(parent, method))).Offer.Repeatable, method)
	}
	listed := *parent
	listed.Customer, listed.Call.Seq = "quimper", 2
	require.True(t, f.offered(f.arrive(child(&listed, "PUT"))).Offer.Repeatable)
}

// Guards against a second run of a child when its parent runs again, and
// against identical children of one run that count as one.
func TestDerivedKeys(t *testing.T) {
	f := newFixture(t, 2)
	keys := func(attempt int, content uint64) (found []string) {
		parent := &message.Offer{
			Call: message.CallID{Node: id(5), Seq: 1}, Attempt: attempt, Root: "r", Content: content,
			KeyAge: 2 * time.Second, Remaining: time.Second,
		}
		for range 3 {
			o := f.offered(f.arrive(child(parent, "POST"))).Offer
			require.Equal(t, 2*time.Second, o.KeyAge)
			found = append(found, o.Key)
		}
		return found
	}
	first := keys(1, 1)
	require.Equal(t, first, keys(2, 1))
	all := map[string]bool{}
	for _, key := range append(first, keys(3, 2)...) {
		all[key] = true
	}
	require.Len(t, all, 6)
}

// Guards against a resend that draws on a new budget, and against a request
// id of one customer that uses up the budget of another request.
func TestResendDrawsOnSameBudget(t *testing.T) {
	f := newFixture(t, 3)
	spent := func(r *dispatcher.Request) (runs int) {
		out := []action.Action{f.arrive(r)}
		for out[len(out)-1].Kind == action.Offer {
			runs++
			out = f.lost(out[len(out)-1], true)
		}
		f.now = f.now.Add(5 * time.Second)
		return runs
	}
	require.Equal(t, 2, spent(get("r")), "the allotment of a lost attempt is lost")
	f.ended(outcome.Unknown, outcome.Rate, f.arrive(get("r")))
	require.Equal(t, 2, spent(get("other")))
	f.now = f.now.Add(10 * time.Minute)
	require.Equal(t, 2, spent(get("r")), "forgotten after 10 minutes")

	f = newFixture(t, 3, dispatcher.WithRootLimit(4))
	for i := range 10 {
		spent(get(fmt.Sprint(i)))
	}
	f.ended(outcome.Unknown, outcome.Rate, f.arrive(get("9")))
	f.offered(f.arrive(get("0")))
}

// Guards against a refusal of a resend that claims that the request was not
// run while an earlier send may have run, and against a charge for a resend
// of a request that was proved not to have run.
func TestRefusedResend(t *testing.T) {
	f := newFixture(t, 1)
	out := f.offered(f.arrive(get("r")))
	f.ended(outcome.NotRun, outcome.Forbidden, f.reply(out, outcome.NotRun, outcome.Forbidden, 0)...)
	out = f.offered(f.arrive(get("r")))
	require.Equal(t, 2, out.Offer.RetryBudget, "the budget is whole")
	f.ended(outcome.Complete, outcome.None, f.complete(out)...)
	for range 2 * retries {
		out = f.offered(f.arrive(get("r")))
		f.ended(outcome.Unknown, outcome.Suspect, f.reply(out, outcome.NotRun, outcome.Suspect, 0)...)
	}
	f.Drain(f.now, id(1))
	f.ended(outcome.Unknown, outcome.Unavailable, f.arrive(get("r")))
}
