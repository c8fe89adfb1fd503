package sidecar

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/pkg/latency"
	"github.com/papayapath/papayapath/pkg/outcome"
)

const (
	// clientDrainTime is how long a stopping node keeps admitting requests.
	// Clients are routed to other nodes after two failed readiness checks, one
	// second apart.
	clientDrainTime = 2500 * time.Millisecond
	// A stopping node rejects offers of other nodes near the end of the grace
	// period, so that accepted ones can finish. The cutoff lies queueDrainTime,
	// which covers the queue under overload, plus drainRunTimes mean run times
	// before the exit, but not earlier than minOfferTime after the stop signal.
	queueDrainTime = 400 * time.Millisecond
	drainRunTimes  = 8
	minOfferTime   = 1500 * time.Millisecond
	// minAnswerTime is the least time that a stopping node reckons with for an
	// answer.
	minAnswerTime = 400 * time.Millisecond
	// answerSlack is the part by which an answer may take longer than all recent ones.
	answerSlack = 0.25
	// lastRunsTime is the time before the exit at which the last runs end. It covers
	// the way of their answers.
	lastRunsTime = 150 * time.Millisecond
	// lastAnswersTime bounds the time in which the answers to the requests that are
	// open at the exit are written.
	lastAnswersTime = 200 * time.Millisecond
	// lastFramesTime bounds the time in which the other nodes read the last answers.
	lastFramesTime = 50 * time.Millisecond
	// offerPropagationTime bounds the time until offers that were sent before
	// the other nodes learned of the stop have arrived. It is several times the
	// latency between failure domains.
	offerPropagationTime = 100 * time.Millisecond
	// exitMargin is the time before the end of the grace period at which a
	// stopping node exits even with open requests. It covers lastAnswersTime, three times
	// lastFramesTime, and the process exit itself with the last log lines.
	exitMargin = 600 * time.Millisecond
	// stopPollInterval is how often a stopping node checks whether it may exit.
	stopPollInterval = 25 * time.Millisecond
	// shortPollInterval is how often a node that exits looks for its last answers.
	shortPollInterval = 5 * time.Millisecond
)

// drain stops the node gracefully. While client requests are in progress, the
// local backend server keeps accepting offers of other nodes: a service with few
// backend servers needs its capacity, and the open requests themselves may depend
// on it.
func (n *Node) drain() {
	start, grace := time.Now(), n.grace()
	n.mu.Lock()
	n.stopping, n.stoppedAt = true, start
	n.admissionEnd = start.Add(clientDrainTime)
	exitDeadline := start.Add(grace - exitMargin)
	n.exitDeadline = exitDeadline
	n.self.Ending = true
	n.announceEntry(start)
	n.mu.Unlock()
	n.journal.Write(event.NodeStopping, logrus.Fields{"grace_ms": grace.Milliseconds(), "requests": n.clients.ActiveRequests()})
	n.clients.DisableKeepAlives()
	if n.limiterRuns.Load() {
		n.limiter.Stop()
	}
	for {
		time.Sleep(stopPollInterval)
		now := time.Now()
		n.mu.Lock()
		offersEnd := exitDeadline.Add(-queueDrainTime - drainRunTimes*n.runner.MeanServiceTime())
		n.mu.Unlock()
		elapsed := now.Sub(start)
		if elapsed > clientDrainTime && n.clients.ActiveRequests() == 0 || elapsed > minOfferTime && now.After(offersEnd) {
			n.announceStopping(now)
		}
		if !now.Before(exitDeadline.Add(-lastRunsTime)) {
			n.refuseQueued(now)
		}
		if n.decideExit(now) {
			n.awaitArrivedAnswers()
			n.logCutRuns(time.Now())
			n.answerOpenRequests()
			n.clients.CloseIdle()
			n.mesh.Shutdown(exitDeadline, lastFramesTime)
			return
		}
	}
}

// decideExit reports whether a stopping node exits now: nothing is open, or its time has
// passed. From then on it takes nothing.
func (n *Node) decideExit(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	isIdle := n.offersDrained(now) && len(n.executions) == 0 && n.unsentAnswers.Load() == 0 && n.clients.ActiveRequests() == 0
	n.exitDecided = isIdle || now.After(n.exitDeadline)
	return n.exitDecided
}

// refuseQueued refuses the requests that wait in the queue, or for their sender to
// confirm them, as not run.
func (n *Node) refuseQueued(now time.Time) {
	n.mu.Lock()
	var waiting []*execution
	for _, t := range n.runner.Flush(nil) {
		waiting = append(waiting, t.Value)
	}
	for l, c := range n.confirmations {
		waiting = append(waiting, c.held...)
		delete(n.confirmations, l)
	}
	var replies []reply
	for _, ex := range waiting {
		if !ex.canceled {
			delete(n.executions, ex.key)
			replies = append(replies, n.refuseOffer(now, ex, outcome.Draining))
		}
	}
	n.mu.Unlock()
	// A link may be slow; the exit does not wait for it here.
	go n.reply(replies...)
}

// awaitArrivedAnswers gives a node that got no processor until its exit the time to
// read the answers that have arrived.
func (n *Node) awaitArrivedAnswers() {
	for end := time.Now().Add(lastFramesTime); n.hasOpenOffers() && time.Now().Before(end); {
		time.Sleep(shortPollInterval)
	}
}

// hasOpenOffers reports whether an answer of a server or of another node is due.
func (n *Node) hasOpenOffers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.pending)+len(n.executions) > 0
}

// answerOpenRequests ends the requests that are open when a stopping node exits, so
// that none is cut without an answer.
func (n *Node) answerOpenRequests() {
	close(n.exiting)
	for end := time.Now().Add(lastAnswersTime); n.clients.ActiveRequests() > 0 && time.Now().Before(end); {
		time.Sleep(stopPollInterval)
	}
}

// answersBeforeExit reports whether a stopping node can expect to answer a request
// before it exits: its answer is due by then, or it takes no longer than the given time.
func (n *Node) answersBeforeExit(now, due time.Time, need time.Duration) bool {
	if !n.stopping || !due.After(n.runsEnd()) {
		return true
	}
	return !now.Add(max(minAnswerTime, need)).After(n.runsEnd())
}

// runsEnd returns the time by which the runs end that a stopping node has a part in.
func (n *Node) runsEnd() time.Time { return n.exitDeadline.Add(-lastRunsTime) }

// boundBeforeExit bounds the time until which a server may work, so that it ends a run
// itself before this node exits. Otherwise the exit would cut the run, and its answer
// would not reach the client.
func (n *Node) boundBeforeExit(due time.Time) time.Time {
	if n.stopping && due.After(n.runsEnd()) {
		return n.runsEnd()
	}
	return due
}

// longestAnswer returns the time that an answer may take, given those of the past. It
// is 0 if there are none.
func longestAnswer(e *latency.Estimator) time.Duration {
	if e == nil {
		return 0
	}
	return time.Duration((1 + answerSlack) * float64(e.Tail()))
}

// likelyAnswer returns the time that few answers exceed, 0 if it is not known.
func likelyAnswer(e *latency.Estimator) time.Duration {
	if e == nil {
		return 0
	}
	return e.OverdueAfter()
}

// announceStopping announces once that this node accepts no more offers.
func (n *Node) announceStopping(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.self.Stopping {
		n.self.Stopping, n.stopAnnouncedAt = true, now
		n.announceEntry(now)
	}
}

// offersDrained reports whether the stop has been announced and offers in transit
// at that time have had time to arrive. The caller must hold n.mu.
func (n *Node) offersDrained(now time.Time) bool {
	return n.self.Stopping && now.Sub(n.stopAnnouncedAt) > offerPropagationTime
}

// stoppingTime returns the time since the signal to stop, or 0 without one. The caller
// must hold n.mu.
func (n *Node) stoppingTime(now time.Time) time.Duration {
	if !n.stopping {
		return 0
	}
	return now.Sub(n.stoppedAt)
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
