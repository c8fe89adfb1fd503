package sidecar

import (
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/peer"
	"github.com/papayapath/papayapath/internal/upstream"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/proof"
	"github.com/papayapath/papayapath/pkg/quarantine"
	"github.com/papayapath/papayapath/pkg/readiness"
)

// probeDelay is the time after a broken connection at which the other connections to the
// backend server tell whether it has crashed. The end of a process closes all of them
// within a millisecond.
const probeDelay = 50 * time.Millisecond

// quarantineRequest returns the quarantine key of an offer. The content includes the
// customer, and the request is the same at the instances of all services.
func quarantineRequest(o *frame.Offer) quarantine.Request {
	return quarantine.Request{Content: o.Content}
}

// recordExecutionEnd records whether an execution ended with a response. A connection that
// breaks may be the first sign of a crash.
func (n *Node) recordExecutionEnd(now time.Time, ex *execution, a *upstream.Answer) {
	var invalid *upstream.ResponseError
	switch {
	case a.Err == nil && !a.NotRun:
		n.crashes.Answer(a.Opened, ex.startedAt)
		if !proof.New(a.Status).IsFailure() {
			n.quarantine.Complete(now, quarantineRequest(&ex.offer))
		}
	case !a.Sent || a.Err == nil || errors.As(a.Err, &invalid):
	default:
		n.crashes.Break(now, ex.server, quarantineRequest(&ex.offer))
		if !ex.canceled {
			n.scheduleProbe(now)
		}
	}
}

// scheduleProbe schedules a check whether the backend server has crashed, at probeDelay
// after the latest broken connection.
func (n *Node) scheduleProbe(now time.Time) {
	isScheduled := !n.brokenAt.IsZero()
	n.brokenAt = now
	if !isScheduled {
		time.AfterFunc(probeDelay, n.probeServer)
	}
}

// probeServer checks whether the backend server has crashed, unless another connection has
// outlived the broken one. Without other traffic nothing else would tell.
func (n *Node) probeServer() {
	now := time.Now()
	n.mu.Lock()
	brokenAt := n.brokenAt
	if wait := brokenAt.Add(probeDelay).Sub(now); wait > 0 {
		n.mu.Unlock()
		time.AfterFunc(wait, n.probeServer)
		return
	}
	n.brokenAt = time.Time{}
	server, isUsed := n.readiness.Last().Incarnation, n.readiness.State() == readiness.Ready && !n.exitDecided
	n.mu.Unlock()
	if !isUsed || n.pool.HasOlder(brokenAt) {
		return
	}
	if err := n.pool.Probe(now); isConnectionRefused(err) {
		n.handleClosedPort(time.Now(), server)
	}
}

// handleClosedPort handles the news that the port of the backend server is closed.
func (n *Node) handleClosedPort(now time.Time, server readiness.Incarnation) {
	n.mu.Lock()
	n.recordClosedPort(now, server)
	replies := n.applyReadiness(now, nil)
	n.mu.Unlock()
	n.reply(replies...)
}

// recordClosedPort records that the port of a backend server is closed. If a later one has
// started since the port was tried, that one is not concerned. The caller must hold n.mu
// and call applyReadiness.
func (n *Node) recordClosedPort(now time.Time, server readiness.Incarnation) {
	if n.readiness.Last().Incarnation != server {
		return
	}
	if !n.hasAnnouncedEnd() {
		n.recordCrash(now, server)
	}
	n.readiness.ConnectionRefused(now)
}

// hasAnnouncedEnd reports whether the newest backend server has announced its end.
func (n *Node) hasAnnouncedEnd() bool {
	last := n.readiness.Last().Incarnation
	return n.readiness.State() == readiness.Draining || n.readiness.Leaving() == last
}

// observeHeartbeat records a heartbeat and reports whether the backend server needs a
// health check. If a server has started anew without having announced the end of its
// earlier start, that start has crashed.
func (n *Node) observeHeartbeat(now time.Time, h readiness.Heartbeat) (confirm bool) {
	earlier, announced := n.readiness.Last().Incarnation, n.hasAnnouncedEnd()
	confirm = n.readiness.Observe(now, h)
	switch {
	case n.readiness.Last().Incarnation == earlier || earlier == readiness.Incarnation{}:
	case announced:
		n.crashes.Forget(earlier)
	default:
		n.recordCrash(now, earlier)
	}
	return confirm
}

// recordCrash reports the requests that were in flight at the crash of a backend server to
// the quarantine and broadcasts the resulting suspicions. Several pieces of evidence may
// tell of the same crash.
func (n *Node) recordCrash(now time.Time, server readiness.Incarnation) {
	inFlight := n.crashes.Crash(now, server)
	for _, ex := range n.executions {
		if ex.server == server && !ex.startedAt.IsZero() {
			inFlight = append(inFlight, quarantineRequest(&ex.offer))
		}
	}
	isNew := n.crashedServer != server
	if !isNew && len(inFlight) == 0 {
		return
	}
	n.crashedServer = server
	if isNew {
		n.stats.crashes.Inc(1)
	}
	n.quarantine.RecordCrash(now, n.crashID(server), inFlight)
	n.logCrash(now, server, inFlight)
	n.broadcastSuspicions(now)
}

// crashID returns the ID of the crash of a backend server. A server crashes once.
func (n *Node) crashID(server readiness.Incarnation) uint64 {
	return xxhash.Sum64String(fmt.Sprint(n.self.Node, server.ID, server.Born))
}

// logCrash logs a crash of the backend server with the given requests in
// flight.
func (n *Node) logCrash(now time.Time, server readiness.Incarnation, inFlight []quarantine.Request) {
	n.journal.WriteSampled(now, event.BackendCrashed, func() logrus.Fields {
		refused := 0
		for _, r := range inFlight {
			if n.quarantine.Check(now, r) == quarantine.Refuse {
				refused++
			}
		}
		return logrus.Fields{"server": server.ID, "born": server.Born, "requests": len(inFlight), "refused": refused}
	})
}

// broadcastSuspicions sends changed suspicions to all linked nodes.
func (n *Node) broadcastSuspicions(now time.Time) {
	changes := n.quarantine.DrainChanges(now, nil)
	if len(changes) == 0 {
		return
	}
	go func() { peer.Broadcast(n.mesh.Links(), frame.KindSuspicions, frame.Suspicions{Suspicions: changes}) }()
}

// mergeSuspicions merges suspicions received from another node.
func (n *Node) mergeSuspicions(now time.Time, all []message.Suspicion) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range all {
		n.quarantine.Merge(now, s)
	}
}
