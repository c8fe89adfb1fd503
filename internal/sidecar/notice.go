package sidecar

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/upstream"
)

// limitLogIntervals is the number of ticks of runAntiEntropy over which the
// requests sent to a server with a limit are logged.
const limitLogIntervals = 4

// recordNotice logs a change in what the local backend server says of itself. The
// caller must hold n.mu.
func (n *Node) recordNotice(a *upstream.Answer) {
	if !isOwnAnswer(a) || a.Notice == n.notice {
		return
	}
	n.notice = a.Notice
	n.journal.Write(event.ServerNoticeChanged, logrus.Fields{
		"server": n.readiness.Last().ID, "limited": a.Notice.Limited, "limit_per_s": a.Notice.Rate,
		"leaving": a.Notice.Leaving, "sent": n.stats.sends.Count(),
	})
}

// isOwnAnswer reports whether an answer is a valid one of the expected server.
func isOwnAnswer(a *upstream.Answer) bool {
	return a.Sent && a.Err == nil && a.Status != fasthttp.StatusMisdirectedRequest
}

// logServerLimit logs how many requests the local backend server got recently, if
// it names a limit.
func (n *Node) logServerLimit(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	sent := n.stats.sends.Count()
	recent := sent - n.sendCounts[0]
	copy(n.sendCounts[:], n.sendCounts[1:])
	n.sendCounts[limitLogIntervals-1] = sent
	if !n.notice.Limited {
		return
	}
	n.journal.WriteSampled(now, event.ServerLimitInForce, func() logrus.Fields {
		return logrus.Fields{"server": n.readiness.Last().ID, "limit_per_s": n.notice.Rate, "sent_4s": recent}
	})
}
