package sidecar

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayapath/papayapath/internal/event"
)

// runOf describes an offer that has ended at now. decider tells what ended it.
func (n *Node) runOf(now time.Time, p *pending, decider string) run {
	n.mu.Lock()
	defer n.mu.Unlock()
	e, ok := n.registry.Get(p.node)
	return run{node: p.node, age: now.Sub(p.sentAt), decider: decider, stopping: ok && (e.Ending || e.Stopping)}
}

// recordOpenRun records that an open offer of a request ends without an answer. The
// backend server may be at work on the request.
func (n *Node) recordOpenRun(req *request, decider string) {
	if len(req.openOffers) == 0 {
		return
	}
	req.unknownOutcome = true
	n.mu.Lock()
	p := n.pending[req.openOffers[0]]
	n.mu.Unlock()
	if p != nil {
		req.lastRun = n.runOf(time.Now(), p, decider)
	}
}

// stoppingTime returns the time since the signal to stop, or 0 without one. The caller
// must hold n.mu.
func (n *Node) stoppingTime(now time.Time) time.Duration {
	if !n.stopping {
		return 0
	}
	return now.Sub(n.stoppedAt)
}

// unansweredFields returns the log fields of a request that ends without the answer of
// a server. They tell where it ran, for how long, who ended it, and how long this node
// has been stopping by then.
func (n *Node) unansweredFields(req *request) logrus.Fields {
	f := req.logFields()
	n.mu.Lock()
	f["stopping_ms"] = n.stoppingTime(time.Now()).Milliseconds()
	n.mu.Unlock()
	if r := req.lastRun; r.node != "" {
		f["at"], f["run_ms"], f["decider"], f["leaving"] = r.node, r.age.Milliseconds(), r.decider, r.stopping
	}
	return f
}

// logCutRuns logs the runs that a stopping node cuts when it exits.
func (n *Node) logCutRuns(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, ex := range n.executions {
		if ex.startedAt.IsZero() {
			continue
		}
		n.stats.cutRuns.Inc(1)
		n.journal.WriteSampled(now, event.RunCut, func() logrus.Fields {
			return logrus.Fields{
				"request": ex.offer.Request, "run_ms": now.Sub(ex.startedAt).Milliseconds(), "inner": ex.offer.Nested,
				"own": ex.key.link == nil, "left_ms": ex.ticket.Expires.Sub(now).Milliseconds(),
				"stopping_ms": n.stoppingTime(now).Milliseconds(),
			}
		})
	}
}
