package guard

import (
	"time"

	"github.com/papayapath/papayapath/pkg/ledger"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/ownership"
)

// minRun is the least time that a run is given. With less lease left the call
// is refused, since the backend server would probably be cut off by the
// deadline and leave it in doubt.
const minRun = 100 * time.Millisecond

// Offer decides on a non-repeatable call and enters it if it may run. The
// acceptor calls it as the last step before it hands the call over, not before
// it queues the call.
func (g *Guard) Offer(now time.Time, offer *message.Offer) Verdict {
	v, issued := g.decide(now, offer)
	if v.Decision == Run {
		v.Ticket = g.ledger.Begin(offer, issued)
	}
	return v
}

// Check decides like Offer but enters nothing; a Run has no ticket. The
// acceptor calls it when an offer arrives, so that a resend is answered from
// the ledger. If it says Run, a refusal for another reason may say not run.
func (g *Guard) Check(now time.Time, offer *message.Offer) Verdict {
	v, _ := g.decide(now, offer)
	return v
}

func (g *Guard) decide(now time.Time, offer *message.Offer) (Verdict, time.Time) {
	issued, ok := g.issued(offer.Key)
	if !ok {
		return g.refuse(outcome.NotRun, outcome.Malformed), issued
	}
	state := g.ledger.Find(now, offer, issued)
	switch state {
	case ledger.Absent, ledger.Full:
		return g.admit(now, offer, issued, state), issued
	case ledger.Done:
		return g.replay(offer.Key), issued
	case ledger.Running:
		return Verdict{Decision: Wait, Epoch: g.table.Epoch()}, issued
	case ledger.Mismatch:
		return g.refuse(outcome.NotRun, outcome.Conflict), issued
	case ledger.Bodiless:
		return g.refuse(outcome.Unknown, outcome.TooLarge), issued
	case ledger.Doubtful:
		return g.refuse(outcome.Unknown, outcome.InProgress), issued
	}
	return g.refuse(outcome.Unknown, outcome.Stale), issued
}

// admit decides on a key that the ledger doesn't know.
func (g *Guard) admit(now time.Time, offer *message.Offer, issued time.Time, state ledger.State) Verdict {
	hash := ownership.Hash(offer.Key)
	owner, ok := g.table.Owners().Owner(hash)
	if !ok || owner != g.self || offer.Epoch > g.table.Epoch() {
		g.hear(now, offer.Epoch)
		return g.refuse(outcome.NotRun, outcome.Epoch)
	}
	if !g.history.passed(g.self, hash, issued) {
		return g.refuse(outcome.Unknown, outcome.Forgotten)
	}
	if !g.mayRun(now, offer.Remaining) {
		return g.refuse(g.unheld(issued), outcome.NoLease)
	}
	switch {
	case issued.After(now.Add(Skew)):
		return g.refuse(outcome.NotRun, outcome.Stale)
	case state == ledger.Full:
		return g.refuse(outcome.NotRun, outcome.Overload)
	case offer.Remaining <= 0:
		return g.refuse(outcome.NotRun, outcome.Expired)
	}
	return Verdict{Decision: Run, Epoch: g.table.Epoch(), Latest: g.latest(now, offer.Remaining)}
}

// latest returns the end of the call's deadline or of the lease, whichever
// comes first.
func (g *Guard) latest(now time.Time, remaining time.Duration) time.Time {
	latest := now.Add(remaining)
	if end := g.lease.Until(); end.Before(latest) {
		return end
	}
	return latest
}

// mayRun reports whether the lease leaves a call enough time.
func (g *Guard) mayRun(now time.Time, remaining time.Duration) bool {
	return !g.superseded && g.lease.Valid(now.Add(min(max(remaining, 0), minRun)))
}

// unheld returns what can be said of a key while the lease has ended. A new
// owner runs only keys issued after the end of this lease; an earlier key has
// not run.
func (g *Guard) unheld(issued time.Time) outcome.Outcome {
	if issued.After(g.lease.Until()) {
		return outcome.Unknown
	}
	return outcome.NotRun
}

func (g *Guard) replay(key string) Verdict {
	answer, body := g.ledger.Answer(key)
	return Verdict{Decision: Replay, Epoch: g.table.Epoch(), Answer: answer, Body: body}
}

func (g *Guard) refuse(o outcome.Outcome, r outcome.Reason) Verdict {
	return Verdict{Decision: Refuse, Outcome: o, Reason: r, Epoch: g.table.Epoch()}
}

// Done reports the whole answer of a run. The guard keeps answer and body,
// which must not be changed later.
func (g *Guard) Done(now time.Time, t ledger.Ticket, answer *message.Answer, body []byte) {
	g.ledger.Sweep(now)
	g.ledger.Done(t, answer, body)
}

// NotRun reports that a run was handed back unread. Its key may run again.
func (g *Guard) NotRun(now time.Time, t ledger.Ticket) {
	g.ledger.Sweep(now)
	g.ledger.NotRun(t)
}

// Unknown reports that a run ended in doubt. Its key never runs again here.
func (g *Guard) Unknown(now time.Time, t ledger.Ticket) {
	g.ledger.Sweep(now)
	g.ledger.Unknown(t)
}
