package sidecar

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/upstream"
	"github.com/papayapath/papayapath/pkg/frame"
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

// adoptIntake applies the limit of the local backend server that the sender of an
// offer heard before this process started.
func (n *Node) adoptIntake(now time.Time, i *frame.Intake) {
	if i != nil && n.readiness.Last().Incarnation == (readiness.Incarnation{ID: i.ID, Born: i.Born}) {
		n.intake.Adopt(now, i.Rate)
	}
}

// currentIntake returns the limit of the local backend server, or nil.
func (n *Node) currentIntake() *frame.Intake {
	rate, ok := n.intake.Rate()
	if !ok {
		return nil
	}
	server := n.readiness.Last().Incarnation
	return &frame.Intake{ID: server.ID, Born: server.Born, Rate: rate}
}

// recordIntake keeps the limit that came with an answer of a node, or its end.
func (n *Node) recordIntake(node string, i *frame.Intake) {
	if i == nil {
		delete(n.intakes, node)
		return
	}
	n.intakes[node] = i
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
