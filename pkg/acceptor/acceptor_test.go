package acceptor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// Guards against a call that runs twice, is lost in the queue, or is answered
// with the state of another one.
func TestCallRunsThenNextInQueue(t *testing.T) {
	a := announced()
	require.True(t, ran(1, a.Offer(start, peer, offerOf(1, importance.Normal), nil)))
	require.Empty(t, a.Offer(start, peer, offerOf(1, importance.Normal), nil))
	require.Empty(t, a.Offer(start, peer, offerOf(2, importance.Normal), nil))
	require.Empty(t, a.Offer(start, peer, offerOf(3, importance.High), nil))
	parent, ok := a.InFlight(message.CallID{Node: peer, Seq: 1})
	require.True(t, ok)
	require.Equal(t, uint64(1), parent.Call.Seq)

	out := a.Done(start.Add(time.Millisecond), message.CallID{Node: peer, Seq: 1}, 1, complete, nil)
	require.Equal(t, outcome.Complete, answerTo(1, out).Outcome)
	require.True(t, ran(3, out), "the more important call is next")
	require.Empty(t, a.Done(start.Add(time.Millisecond), message.CallID{Node: peer, Seq: 1}, 1, complete, nil))
	_, ok = a.InFlight(message.CallID{Node: peer, Seq: 1})
	require.False(t, ok)
}

// Guards against a drain that cuts a call or lets a new one in.
func TestDrainRefusesNewCallsAndFinishesOthers(t *testing.T) {
	a := announced()
	a.Offer(start, peer, offerOf(1, importance.Normal), nil)
	a.Offer(start, peer, offerOf(2, importance.Normal), nil)
	require.Empty(t, a.Drain(start, nil))
	a.Announce(start, "calendars", 1)
	refused := answerTo(3, a.Offer(start, peer, offerOf(3, importance.Critical), nil))
	require.Equal(t, outcome.NotRun, refused.Outcome)
	require.Equal(t, outcome.Draining, refused.Reason)

	out := a.Done(start.Add(time.Millisecond), message.CallID{Node: peer, Seq: 1}, 1, complete, nil)
	require.Equal(t, outcome.Complete, answerTo(1, out).Outcome)
	require.True(t, ran(2, out))
	require.False(t, a.Idle())
	out = a.Done(start.Add(2*time.Millisecond), message.CallID{Node: peer, Seq: 2}, 1, complete, nil)
	require.Equal(t, outcome.Complete, answerTo(2, out).Outcome)
	require.True(t, a.Idle())
}

// Guards against a false "not run" after a crash, and against a waiting call
// that is reported as in doubt.
func TestWithdrawAnswersEveryCall(t *testing.T) {
	a := announced()
	a.Offer(start, peer, offerOf(1, importance.Normal), nil)
	a.Offer(start, peer, offerOf(2, importance.Normal), nil)
	out := a.Withdraw(start, nil)
	require.Equal(t, outcome.Unknown, answerTo(1, out).Outcome)
	require.Equal(t, outcome.Crashed, answerTo(1, out).Reason)
	require.Equal(t, outcome.NotRun, answerTo(2, out).Outcome)
	require.True(t, a.Idle())
	out = a.Offer(start, peer, offerOf(3, importance.Normal), nil)
	require.Equal(t, outcome.Unavailable, answerTo(3, out).Reason)
}

// Guards against the backend server's own refusal being taken for "not run".
func TestOwn503IsNeverNotRun(t *testing.T) {
	for _, claimed := range []outcome.Outcome{outcome.Complete, outcome.NotRun} {
		a := announced()
		a.Offer(start, peer, offerOf(1, importance.Normal), nil)
		shed := message.Answer{Outcome: claimed, Status: 503}
		out := a.Done(start, message.CallID{Node: peer, Seq: 1}, 1, shed, nil)
		require.Equal(t, outcome.Complete, answerTo(1, out).Outcome)
	}
}

// Guards against a cancelled run that is reported as not run.
func TestCancelOfRunIsUnknown(t *testing.T) {
	a := announced()
	a.Offer(start, peer, offerOf(1, importance.Normal), nil)
	a.Offer(start, peer, offerOf(2, importance.Normal), nil)
	cancel := message.Cancel{Call: message.CallID{Node: peer, Seq: 2}, Attempt: 1}
	require.Empty(t, a.Cancel(start, self, cancel, nil), "only the caller may cancel")
	require.Equal(t, outcome.NotRun, answerTo(2, a.Cancel(start, peer, cancel, nil)).Outcome)
	cancel.Call.Seq = 1
	require.Equal(t, outcome.Unknown, answerTo(1, a.Cancel(start, peer, cancel, nil)).Outcome)
	require.True(t, a.Idle())
}
