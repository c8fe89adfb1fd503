package sidecar

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/ingress"
	"github.com/papayapath/papayapath/internal/peer"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// abandon ends a request whose client has left.
func (n *Node) abandon(req *request) ingress.Response {
	open := len(req.openOffers)
	if open == 0 && !req.unknownOutcome {
		n.returnToken(req) // it has not run
	}
	n.cancelOffers(req, false)
	req.delayUnknown = true
	n.stats.abandoned.Inc(1)
	n.journal.WriteSampled(time.Now(), event.ClientDisconnected, func() logrus.Fields {
		f := req.logFields()
		f["open"] = open
		return f
	})
	return ingress.Response{Abort: true}
}

// callerCloseTime is how long a call that runs waits for its caller to close the
// connection after the run that made the call was withdrawn. Most servers drop such a
// run, and with it the call. Two calls below each other wait for it in turn.
const callerCloseTime = 200 * time.Millisecond

// restartSlack is how much longer than the grace period a restart takes.
const restartSlack = time.Second

// withdrawCall ends a nested call whose parent execution was withdrawn, and whose
// caller has not closed its connection since. It returns false if the call goes on: it
// may be running, and must not be repeated, or this node is stopping or has been
// restarted. A caller that stays can then rely on the answer of a server that is at work.
func (n *Node) withdrawCall(now time.Time, req *request) (ingress.Response, bool) {
	n.mu.Lock()
	restarts := n.stopping || n.replacesStopped && now.Sub(n.started) < n.grace()+restartSlack
	n.mu.Unlock()
	if len(req.openOffers) > 0 && (restarts || !req.route.Repeatable()) {
		return ingress.Response{}, false
	}
	n.stats.unwantedCalls.Inc(1)
	n.recordOpenRun(req, "withdrawal")
	n.cancelOffers(req, false)
	return n.endUnanswered(req, outcome.Canceled), true
}

// withdrawQueued withdraws the open offers of a request that have not started. Their
// answers tell which.
func (n *Node) withdrawQueued(req *request) {
	now := time.Now()
	for _, id := range req.openOffers {
		n.mu.Lock()
		p := n.pending[id]
		n.mu.Unlock()
		switch {
		case p == nil:
		case p.link == nil:
			n.cancelQueued(now, executionKey{id: id})
		default:
			peer.Send(p.link, frame.KindCancel, frame.Cancel{ID: id, Sent: now.Sub(n.started), Queued: true}, nil)
		}
	}
}

// cancelExecution cancels an execution whose offer was withdrawn by its sender. The
// withdrawal was delayed on its link by late.
func (n *Node) cancelExecution(now time.Time, key executionKey, late time.Duration) {
	n.mu.Lock()
	ex := n.executions[key]
	if ex == nil {
		n.mu.Unlock()
		return
	}
	delete(n.executions, key)
	ex.canceled = true
	if ex.withdrawn != nil {
		close(ex.withdrawn)
	}
	isQueued := ex.startedAt.IsZero()
	if isQueued {
		n.returnRepeat(now, ex)
	}
	n.runner.Cancel(&ex.ticket)
	n.recordWithdrawal(now, ex, late)
	e := ex.exchange
	n.mu.Unlock()
	if isQueued {
		// No reply follows.
		ex.body.Release()
	}
	if e != nil {
		e.Cancel()
	}
}

// withdrawnChannel returns a channel that is closed when the offer is withdrawn. The
// caller must hold Node.mu.
func (ex *execution) withdrawnChannel() <-chan struct{} {
	if ex.withdrawn == nil {
		ex.withdrawn = make(chan struct{})
	}
	return ex.withdrawn
}

// cancelQueued refuses an offer that has been withdrawn by its sender, unless its
// request has been sent to the server.
func (n *Node) cancelQueued(now time.Time, key executionKey) {
	n.mu.Lock()
	ex := n.executions[key]
	if ex == nil || !ex.startedAt.IsZero() {
		n.mu.Unlock()
		return
	}
	delete(n.executions, key)
	ex.canceled = true
	n.runner.Cancel(&ex.ticket)
	n.recordWithdrawal(now, ex, 0)
	refusal := n.refuseOffer(now, ex, outcome.Canceled)
	n.mu.Unlock()
	n.reply(refusal)
}

// recordWithdrawal counts and logs the withdrawal of an offer.
func (n *Node) recordWithdrawal(now time.Time, ex *execution, late time.Duration) {
	n.stats.withdrawn.Inc(1)
	state := "queued"
	if !ex.startedAt.IsZero() {
		state = "running"
		n.stats.withdrawnRuns.Inc(1)
		n.withdrawals.Add(now, ex.offer.Request, ex.ticket.Expires)
		if ex.startedAt.After(now.Add(-late)) {
			n.stats.unwantedRuns.Inc(1)
		}
	}
	n.journal.WriteSampled(now, event.OfferWithdrawn, func() logrus.Fields {
		return logrus.Fields{
			"request": ex.offer.Request, "state": state, "inner": ex.offer.Nested,
			"age_ms": now.Sub(ex.arrivedAt).Milliseconds(), "late_ms": late.Milliseconds(),
			"stopping_ms": n.stoppingTime(now).Milliseconds(),
		}
	})
}

// cancelLinkExecutions cancels all executions offered over a closed link.
func (n *Node) cancelLinkExecutions(now time.Time, l *peer.Link) {
	n.mu.Lock()
	var keys []executionKey
	for k := range n.executions {
		if k.link == l {
			keys = append(keys, k)
		}
	}
	n.mu.Unlock()
	for _, k := range keys {
		n.cancelExecution(now, k, 0)
	}
}
