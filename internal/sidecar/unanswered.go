package sidecar

import (
	"time"

	"github.com/sirupsen/logrus"
)

// run is an offer at which a backend server may have been at work when it ended.
type run struct {
	node     string        // node beside the server
	age      time.Duration // since the offer was sent
	decider  string        // what ended it
	stopping bool          // the node had announced that it stops
}

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
