package acceptor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/acceptor"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/quarantine"
)

const poison = 77 // content digest of the request that crashes the server

// Guards against a request that crashes one server after another because it
// is sent again with new keys, and against innocent ones that stay suspected.
func TestCrashingRequestResent50Times(t *testing.T) {
	q := quarantine.New()
	a := acceptor.New(self, acceptor.WithQuarantine(q))
	now, seq, crashes, refused := start, uint64(1000), 0, 0
	for range 50 {
		a.Announce(now, "calendars", 8)
		for range 3 {
			seq++
			o := offerOf(seq, importance.Normal)
			o.Content = seq % 5
			a.Offer(now, peer, o, nil)
		}
		seq++
		o := offerOf(seq, importance.Critical)
		o.Content, o.Key = poison, string(rune(seq))
		bad := seq
		out := a.Offer(now, peer, o, nil)
		for step := 0; !a.Idle() && step < 300; step++ {
			now = now.Add(10 * time.Millisecond)
			for done := bad - 3; done < bad; done++ {
				out = a.Done(now, call(done), 1, complete, out)
			}
			out = a.Tick(now, out)
			if _, running := a.InFlight(call(bad)); running {
				crashes++
				out = a.Withdraw(now, out)
				break
			}
		}
		if answer := answerTo(bad, out); answer.Reason == outcome.Suspect {
			require.Equal(t, outcome.NotRun, answer.Outcome)
			refused++
		}
		now = now.Add(time.Second)
	}
	t.Logf("crashes %d, refused %d, still suspected %d", crashes, refused, q.Len(now))
	require.LessOrEqual(t, crashes, 3)
	require.Equal(t, 50-crashes, refused)
	require.Equal(t, 1, q.Len(now), "only the crashing request stays suspected")
}

// Guards against connections that break before the crash is known and hide
// the requests that were in flight.
func TestRunsBrokenBeforeWithdrawAreSuspected(t *testing.T) {
	q := quarantine.New()
	a := announced(acceptor.WithQuarantine(q))
	a.Offer(start, peer, offerOf(poison, importance.Normal), nil)
	broken := complete
	broken.Outcome, broken.Status, broken.Reason = outcome.Unknown, 0, outcome.Crashed
	a.Done(start, call(poison), 1, broken, nil)
	a.Withdraw(start.Add(time.Second), nil)
	require.Equal(t, 1, q.Len(start))
}

// Guards against a failure of the server that clears a suspect: it may fail a request
// before it does what crashes it.
func TestFailureClearsNoSuspect(t *testing.T) {
	q := quarantine.New()
	q.RecordCrash(start, 1, []quarantine.Request{{Customer: "quimper", Content: poison}})
	a := announced(acceptor.WithQuarantine(q))
	a.Offer(start, peer, offerOf(poison, importance.Normal), nil)
	failed := complete
	failed.Status = 500
	a.Done(start, call(poison), 1, failed, nil)
	require.Equal(t, 1, q.Len(start))
	a.Offer(start, peer, offerOf(poison, importance.Normal), nil)
	a.Done(start, call(poison), 1, complete, nil)
	require.Zero(t, q.Len(start))
}

// Guards against a suspect that takes others down with it, or that keeps a
// server from its work.
func TestSuspectRunsAlone(t *testing.T) {
	q := quarantine.New()
	q.RecordCrash(start, 1, []quarantine.Request{{Customer: "quimper", Content: poison}, {Customer: "quimper", Content: 2}})
	a := acceptor.New(self, acceptor.WithQuarantine(q))
	a.Announce(start, "calendars", 8)
	require.True(t, ran(1, a.Offer(start, peer, offerOf(1, importance.Normal), nil)))
	require.Empty(t, a.Offer(start, peer, offerOf(poison, importance.Normal), nil))
	require.Empty(t, a.Offer(start, peer, offerOf(3, importance.Normal), nil), "the server empties")
	require.True(t, ran(poison, a.Done(start, call(1), 1, complete, nil)))
	require.Equal(t, 1, a.Stats().Running())
	require.True(t, ran(3, a.Done(start, call(poison), 1, complete, nil)))
	require.Equal(t, 1, q.Len(start), "a complete run clears a suspect")
}
