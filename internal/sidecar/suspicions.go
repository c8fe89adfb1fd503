package sidecar

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/peer"
	"github.com/papayapath/papayapath/internal/upstream"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/quarantine"
)

const (
	// crashWindow is the time before a backend server's port is found closed
	// within which failed executions count as in flight at the crash.
	crashWindow = 2 * time.Second
	// maxBrokenExecutions bounds the failed executions kept for this purpose.
	maxBrokenExecutions = 512
)

// brokenExecution is an execution that ended without a response.
type brokenExecution struct {
	request quarantine.Request
	at      time.Time
}

// quarantineRequest returns the quarantine key of an offer.
func quarantineRequest(o *frame.Offer) quarantine.Request {
	return quarantine.Request{Customer: o.Origin, Content: o.Content}
}

// recordExecutionEnd records whether an execution ended with a response.
func (n *Node) recordExecutionEnd(now time.Time, ex *execution, a *upstream.Answer) {
	switch {
	case a.Err == nil && !a.NotRun:
		n.quarantine.Complete(now, quarantineRequest(&ex.offer))
	case a.Sent && a.Err != nil && !ex.canceled && len(n.brokenExecutions) < maxBrokenExecutions:
		n.brokenExecutions = append(n.brokenExecutions, brokenExecution{request: quarantineRequest(&ex.offer), at: now})
	}
}

// recordCrash reports the requests that were in flight at a crash of the backend
// server to the quarantine and broadcasts the resulting suspicions.
func (n *Node) recordCrash(now time.Time) {
	var inFlight []quarantine.Request
	for _, b := range n.brokenExecutions {
		if now.Sub(b.at) < crashWindow {
			inFlight = append(inFlight, b.request)
		}
	}
	n.brokenExecutions = n.brokenExecutions[:0]
	n.stats.crashes.Inc(1)
	id := xxhash.Sum64String(fmt.Sprint(n.self.Node, n.started.UnixNano(), n.stats.crashes.Count()))
	n.quarantine.RecordCrash(now, id, inFlight)
	n.logCrash(now, inFlight)
	n.broadcastSuspicions(now)
}

// logCrash logs a crash of the backend server with the given requests in
// flight.
func (n *Node) logCrash(now time.Time, inFlight []quarantine.Request) {
	n.journal.WriteSampled(now, event.BackendCrashed, func() logrus.Fields {
		refused := 0
		for _, r := range inFlight {
			if n.quarantine.Check(now, r) == quarantine.Refuse {
				refused++
			}
		}
		server := n.readiness.Last()
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
