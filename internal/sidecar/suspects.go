package sidecar

import (
	"time"

	"github.com/papayapath/papayapath/internal/peer"
	"github.com/papayapath/papayapath/internal/upstream"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/quarantine"
)

const (
	// crashWindow is the time before a server's port is found closed in which
	// runs that broke off count as in flight at its crash.
	crashWindow = 2 * time.Second
	// maxBroken bounds the runs that are remembered for it.
	maxBroken = 512
)

// brokenRun is a run that ended without an answer.
type brokenRun struct {
	request quarantine.Request
	at      time.Time
}

// suspect names what an offer asks for.
func suspect(o *frame.Offer) quarantine.Request {
	return quarantine.Request{Customer: o.Origin, Content: o.Content}
}

// judge notes whether a run ended with an answer.
func (n *Node) judge(now time.Time, r *run, a *upstream.Answer) {
	switch {
	case a.Err == nil && !a.NotRun:
		n.quarantine.Complete(now, suspect(&r.offer))
	case a.Sent && a.Err != nil && !r.canceled && len(n.broken) < maxBroken:
		n.broken = append(n.broken, brokenRun{request: suspect(&r.offer), at: now})
	}
}

// crashed makes the runs that broke off with the server suspects, and tells the
// other nodes.
func (n *Node) crashed(now time.Time) {
	var ran []quarantine.Request
	for _, b := range n.broken {
		if now.Sub(b.at) < crashWindow {
			ran = append(ran, b.request)
		}
	}
	n.broken = n.broken[:0]
	n.quarantine.RecordCrash(now, ran)
	n.tellSuspicions(now)
}

// tellSuspicions sends what has changed about suspects to all nodes.
func (n *Node) tellSuspicions(now time.Time) {
	changes := n.quarantine.DrainChanges(now, nil)
	if len(changes) == 0 {
		return
	}
	go func() {
		for _, l := range n.mesh.Links() {
			peer.Send(l, frame.KindSuspicions, frame.Suspicions{Suspicions: changes}, nil)
		}
	}()
}

// mergeSuspicions takes over what another node knows of suspects.
func (n *Node) mergeSuspicions(now time.Time, all []message.Suspicion) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range all {
		n.quarantine.Merge(now, s)
	}
}
