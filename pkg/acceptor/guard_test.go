package acceptor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/acceptor"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// fakeGuard gives a fixed verdict.
type fakeGuard struct {
	verdict  acceptor.GuardVerdict
	known    bool
	asked    []time.Duration // remaining deadlines
	finished []outcome.Outcome
}

func (g *fakeGuard) Admit(_ time.Time, o *message.Offer) acceptor.GuardVerdict {
	g.asked = append(g.asked, o.Remaining)
	return g.verdict
}

func (g *fakeGuard) Finish(_ time.Time, _ *message.Offer, a *message.Answer) {
	g.finished = append(g.finished, a.Outcome)
}

func (g *fakeGuard) Fresh(time.Time, *message.Offer) bool { return !g.known }

func order(seq uint64) *message.Offer {
	o := offerOf(seq, importance.Critical)
	o.Repeatable, o.Key = false, "k"
	return o
}

func call(seq uint64) message.CallID { return message.CallID{Node: peer, Seq: seq} }

// Guards against a call that may not run twice and runs without a check.
func TestWithoutGuardNonRepeatableCallsAreRefused(t *testing.T) {
	answer := answerTo(1, announced().Offer(start, peer, order(1), nil))
	require.Equal(t, outcome.NotRun, answer.Outcome)
	require.Equal(t, outcome.NoLease, answer.Reason)
}

// Guards against a check that is out of date when the call leaves the queue.
func TestGuardIsAskedAtHandOver(t *testing.T) {
	g := &fakeGuard{verdict: acceptor.GuardVerdict{Decision: acceptor.GuardRun}}
	a := announced(acceptor.WithGuard(g))
	a.Offer(start, peer, offerOf(1, importance.Critical), nil)
	a.Offer(start, peer, order(2), nil)
	require.Empty(t, g.asked)
	out := a.Done(start.Add(300*time.Millisecond), call(1), 1, complete, nil)
	require.True(t, ran(2, out))
	require.Equal(t, []time.Duration{700 * time.Millisecond}, g.asked)
	a.Withdraw(start, nil)
	require.Equal(t, []outcome.Outcome{outcome.Unknown}, g.finished)
}

// Guards against a refusal "not run" of a key whose first call has run.
func TestRefusalOfKnownKeyIsUnknown(t *testing.T) {
	g := &fakeGuard{known: true, verdict: acceptor.GuardVerdict{Outcome: outcome.Unknown, Reason: outcome.Forgotten}}
	a := announced(acceptor.WithGuard(g))
	a.Drain(start, nil)
	answer := answerTo(1, a.Offer(start, peer, order(1), nil))
	require.Equal(t, outcome.Unknown, answer.Outcome)
	require.Equal(t, outcome.Forgotten, answer.Reason)
}

// Guards against a resend of a finished key that is refused by a server which
// is leaving or full, although its answer is known.
func TestKnownAnswerIsGivenWhateverTheLoad(t *testing.T) {
	stored := &message.Answer{Outcome: outcome.Complete, Status: 201}
	g := &fakeGuard{known: true, verdict: acceptor.GuardVerdict{Decision: acceptor.GuardReplay, Answer: stored, Body: []byte("stamped")}}
	a := announced(acceptor.WithGuard(g))
	for seq := uint64(1); seq <= 100; seq++ {
		a.Offer(start, peer, offerOf(seq, importance.Critical), nil)
	}
	a.Drain(start, nil)
	out := a.Offer(start, peer, order(101), nil)
	require.Equal(t, 201, answerTo(101, out).Status)
	require.Equal(t, "stamped", string(out[len(out)-1].Body))
}

// Guards against a resend that runs beside the first call, or never ends.
func TestResendWaitsForTheFirstCall(t *testing.T) {
	g := &fakeGuard{verdict: acceptor.GuardVerdict{Decision: acceptor.GuardRun}}
	a := acceptor.New(self, acceptor.WithGuard(g))
	a.Announce(start, "calendars", 2)
	require.True(t, ran(1, a.Offer(start, peer, order(1), nil)))
	g.verdict, g.known = acceptor.GuardVerdict{Decision: acceptor.GuardWait}, true
	require.Empty(t, a.Offer(start, peer, order(2), nil))
	require.Equal(t, 1, a.Stats().Blocked())
	require.Empty(t, a.Tick(start.Add(10*time.Millisecond), nil))
	g.verdict = acceptor.GuardVerdict{Decision: acceptor.GuardReplay, Answer: &message.Answer{Outcome: outcome.Complete, Status: 201}}
	out := a.Done(start.Add(20*time.Millisecond), call(1), 1, complete, nil)
	replay := answerTo(2, out)
	require.True(t, replay.Replayed)
	require.Equal(t, 201, replay.Status)
	require.True(t, a.Idle())
}

// Guards against a call that starts although its deadline can't be met, and
// against one that is never answered.
func TestDeadlines(t *testing.T) {
	a := announced()
	a.Offer(start, peer, offerOf(1, importance.Normal), nil)
	a.Done(start.Add(500*time.Millisecond), call(1), 1, complete, nil)
	now := start.Add(500 * time.Millisecond)
	late := offerOf(2, importance.Critical)
	late.Remaining = 400 * time.Millisecond
	answer := answerTo(2, a.Offer(now, peer, late, nil))
	require.Equal(t, outcome.NotRun, answer.Outcome)
	require.Equal(t, outcome.Expired, answer.Reason)

	require.True(t, ran(3, a.Offer(now, peer, offerOf(3, importance.Normal), nil)))
	a.Offer(now, peer, offerOf(4, importance.Normal), nil)
	out := a.Tick(now.Add(250*time.Millisecond), nil)
	require.Equal(t, outcome.NotRun, answerTo(4, out).Outcome, "too long in the queue")
	out = a.Tick(now.Add(time.Second), nil)
	require.Equal(t, outcome.Unknown, answerTo(3, out).Outcome, "expired while it ran")
	require.True(t, a.Idle())
}

// Guards against a Critical call that waits behind lower running work until it
// is too late, and against a preempted run that is reported as not run.
func TestCriticalCallPreemptsLowerRun(t *testing.T) {
	a := announced()
	a.Offer(start, peer, offerOf(1, importance.Normal), nil)
	a.Offer(start, peer, offerOf(2, importance.Critical), nil)
	out := a.Tick(start.Add(950*time.Millisecond), nil)
	require.Equal(t, outcome.Unknown, answerTo(1, out).Outcome)
	require.Equal(t, outcome.Preempted, answerTo(1, out).Reason)
	require.True(t, ran(2, out))
}
