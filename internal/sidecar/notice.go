package sidecar

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/upstream"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/intake"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/readiness"
)

// limitLogIntervals is the number of ticks of runAntiEntropy over which the
// requests sent to a server with a limit are logged.
const limitLogIntervals = 4

// recordNotice applies what the local backend server says of itself in an answer
// to an execution. The caller must hold n.mu.
func (n *Node) recordNotice(now time.Time, ex *execution, a *upstream.Answer) {
	if !isOwnAnswer(a) || ex.server != n.readiness.Last().Incarnation {
		return
	}
	n.intake.Observe(now, ex.startedAt, a.Notice)
	if a.Notice.Leaving {
		n.readiness.MarkLeaving(ex.server)
	}
	if a.Notice == n.notice {
		return
	}
	n.notice = a.Notice
	n.journal.Write(event.ServerNoticeChanged, logrus.Fields{
		"server": ex.server.ID, "limited": a.Notice.Limited, "limit_per_s": a.Notice.Rate,
		"leaving": a.Notice.Leaving, "sent": n.stats.sends.Count(),
	})
}

// isOwnAnswer reports whether an answer is a valid one of the expected server.
func isOwnAnswer(a *upstream.Answer) bool {
	return a.Sent && a.Err == nil && a.Status != fasthttp.StatusMisdirectedRequest
}

// adoptNotice applies what the sender of an offer has heard the local backend
// server say, which this process may not know if it was restarted.
func (n *Node) adoptNotice(now time.Time, o *frame.Notice) {
	if o == nil {
		return
	}
	if o.Notice.Leaving {
		n.readiness.MarkLeaving(o.Server())
	}
	if o.Notice.Limited && o.Server() == n.readiness.Last().Incarnation {
		n.intake.Adopt(now, o.Notice.Rate)
	}
}

// currentNotice returns what holds of the local backend server by its answers, or
// nil if it said nothing.
func (n *Node) currentNotice() *frame.Notice {
	server := n.readiness.Last().Incarnation
	rate, limited := n.intake.Rate()
	leaving := n.readiness.State() == readiness.Draining
	if !limited && !leaving {
		return nil
	}
	out := &frame.Notice{ID: server.ID, Born: server.Born}
	out.Notice.Limited, out.Notice.Rate, out.Notice.Leaving = limited, rate, leaving
	return out
}

// recordPeerNotice keeps what a server said of itself by an answer of its node. It
// ends with an answer of the server without it, not with a refusal: a node that
// has been restarted may not know.
func (n *Node) recordPeerNotice(node string, a *frame.Answer) {
	switch o := a.Notice; {
	case o != nil:
		n.notices[node] = o
		if o.Notice.Leaving {
			n.registry.MarkLeaving(node, o.Server())
		}
	case a.Outcome == outcome.Complete:
		delete(n.notices, node)
	}
}

// intakeShare returns the even share of this node in the limit of a node's server,
// or 0 if there is none.
func (n *Node) intakeShare(node string) float64 {
	o := n.notices[node]
	if o == nil || !o.Notice.Limited {
		return 0
	}
	return max(o.Notice.Rate, intake.MinRate) / float64(n.registry.Len())
}

// capacityReason returns the reason for refusing an offer that the local backend
// server cannot run in time.
func (n *Node) capacityReason() outcome.Reason {
	if n.runner.IsPaced() {
		return outcome.Limited
	}
	return outcome.Overload
}

// logServerLimit logs how many requests the local backend server got recently, if
// it has a limit.
func (n *Node) logServerLimit(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	sent := n.stats.sends.Count()
	recent := sent - n.sendCounts[0]
	copy(n.sendCounts[:], n.sendCounts[1:])
	n.sendCounts[limitLogIntervals-1] = sent
	rate, ok := n.intake.Rate()
	if !ok {
		return
	}
	n.journal.WriteSampled(now, event.ServerLimitInForce, func() logrus.Fields {
		return logrus.Fields{"server": n.readiness.Last().ID, "limit_per_s": rate, "sent_4s": recent}
	})
}
