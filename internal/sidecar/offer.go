package sidecar

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/ingress"
	"github.com/papayapath/papayapath/internal/peer"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/latency"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/roster"
)

const (
	// margin is the time before the end of a request at which the node beside
	// the server gives up, so that its answer arrives before the end.
	margin = 10 * time.Millisecond
	// maxOffers bounds the nodes to which one request is offered.
	maxOffers = 4
	// assumedCalls is how often a run is taken to call each other service while
	// nothing is known: the most that requests of both deployments do.
	assumedCalls = 8
)

// result is what became of an offer.
type result struct {
	answer frame.Answer
	body   []byte
}

// pending is an offer without an answer.
type pending struct {
	call   *call
	node   string     // where it was offered
	link   *peer.Link // nil for the own server
	sentAt time.Time
}

// send offers a request to the best node that was not tried. It returns the
// reason if there is none.
func (n *Node) send(c *call) outcome.Reason {
	for {
		now := time.Now()
		wait := c.end.Sub(now) - margin
		if wait <= 0 {
			return outcome.Expired
		}
		id, p, reason := n.prepare(now, c)
		if reason != outcome.None {
			return reason
		}
		o := c.offer
		o.ID, o.Wait = id, wait
		if p.link == nil {
			n.accept(now, nil, &o, c.body)
			return outcome.None
		}
		// If the offer cannot be withdrawn, the link has ended meanwhile and
		// the result is there.
		if peer.Send(p.link, frame.KindOffer, &o, c.body) || !n.withdraw(id) {
			return outcome.None
		}
		c.close(id)
	}
}

// prepare chooses a node for the next offer of a request and notes the offer.
func (n *Node) prepare(now time.Time, c *call) (uint64, *pending, outcome.Reason) {
	n.mu.Lock()
	defer n.mu.Unlock()
	node := n.choose(now, c)
	switch {
	case node == "" && c.offers == 0:
		return 0, nil, outcome.Unavailable
	case node == "" || c.offers >= maxOffers:
		return 0, nil, outcome.Overload
	}
	p := &pending{call: c, node: node, sentAt: now}
	if node != n.self.Node {
		if p.link = n.mesh.Link(node); p.link == nil {
			return 0, nil, outcome.Unavailable
		}
	}
	c.tried = append(c.tried, node)
	c.offers++
	n.roster.Begin(node)
	id := n.offers.Add(1)
	n.pending[id] = p
	c.open = append(c.open, id)
	return id, p, outcome.None
}

// withdraw forgets an offer that was not sent. It returns false if the offer
// has a result.
func (n *Node) withdraw(id uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.pending[id]
	if p == nil {
		return false
	}
	n.close(id, p)
	return true
}

// close removes an offer from the table.
func (n *Node) close(id uint64, p *pending) {
	delete(n.pending, id)
	n.roster.End(p.node)
}

// abandonAll cancels the offers of a request whose answer is no longer wanted.
func (n *Node) abandonAll(c *call, late bool) {
	for _, id := range c.open {
		n.abandon(id, late)
	}
	c.open = nil
}

// abandon cancels an offer whose answer is no longer wanted, because it is late
// or because the client has left.
func (n *Node) abandon(id uint64, late bool) {
	now := time.Now()
	n.mu.Lock()
	p := n.pending[id]
	if p != nil {
		n.close(id, p)
		if late {
			n.roster.RecordOverdue(now, p.node, now.Sub(p.sentAt))
		}
	}
	n.mu.Unlock()
	switch {
	case p == nil:
	case p.link == nil:
		n.cancel(runKey{id: id})
	default:
		peer.Send(p.link, frame.KindCancel, frame.Cancel{ID: id}, nil)
	}
}

// deliver passes the answer to an offer on to its call.
func (n *Node) deliver(now time.Time, from *peer.Link, a *frame.Answer, body []byte) {
	n.mu.Lock()
	p := n.pending[a.ID]
	if p == nil || p.link != from {
		n.mu.Unlock()
		return
	}
	n.close(a.ID, p)
	n.roster.RecordReport(now, p.node, roster.Report{
		Load: a.Load, Limit: a.Limit, Time: a.Time, Failed: a.Sent && a.Outcome != outcome.Complete,
	})
	p.call.delay += a.QueueDelay
	p.call.refused = p.call.refused || a.CallRefused
	p.call.shed = p.call.shed || a.Outcome == outcome.NotRun && !a.Sent && noPlace(a.Reason)
	if a.Outcome == outcome.Complete {
		n.learn(p.call.key, now.Sub(p.sentAt))
	}
	if a.HasFanout {
		n.spreads[p.call.key] = a.Fanout
		n.traced = n.traced || len(a.Fanout) > 0
	}
	n.mu.Unlock()
	p.call.results <- result{answer: *a, body: body}
}

// learn records the latency of an answer.
func (n *Node) learn(key message.Route, d time.Duration) {
	e := n.latencies[key]
	if e == nil {
		if len(n.latencies) >= maxRoutes {
			clear(n.latencies)
		}
		e = &latency.Estimator{}
		n.latencies[key] = e
	}
	e.Add(d)
}

// settle decides what follows from the result of an offer. It returns false if
// another offer of the request is open or has been made.
func (n *Node) settle(c *call, r *result) (ingress.Response, bool) {
	a := &r.answer
	if a.Sent {
		c.sends++
	}
	c.doubtful = c.doubtful || a.Sent && a.Outcome == outcome.Unknown
	failed := a.Outcome == outcome.Complete && a.Status == fasthttp.StatusInternalServerError
	switch {
	case a.Outcome == outcome.Complete && !failed:
		n.figures.complete(time.Since(c.start))
		return ingress.Response{Status: a.Status, Head: a.Head, Body: r.body}, true
	case len(c.open) > 0:
		return ingress.Response{}, false
	case a.Reason == outcome.Suspect:
		return n.finish(c, a.Reason), true
	}
	reason := a.Reason
	if a.Outcome == outcome.NotRun && !a.Sent || n.again(c, a) {
		reason = n.send(c)
		if reason == outcome.None {
			return ingress.Response{}, false
		}
	}
	if failed {
		return ingress.Response{Status: a.Status, Head: a.Head, Body: r.body}, true
	}
	return n.finish(c, reason), true
}

// again decides whether a request that reached a server is sent to another one.
func (n *Node) again(c *call, a *frame.Answer) bool {
	if c.sends >= c.route.MaxAttempts() || a.Outcome != outcome.NotRun && !c.route.Repeatable() {
		return false
	}
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.choose(now, c) == "" || !n.spend(now, c, a.Outcome == outcome.NotRun) {
		return false
	}
	n.figures.retries.Inc(1)
	n.journal.WriteSampled(now, event.RequestRetried, func() logrus.Fields {
		f := c.fields()
		f["outcome"], f["status"] = a.Outcome.String(), a.Status
		return f
	})
	return true
}

// spend takes a retry out of the budgets of the service and, unless the first
// attempt did not run, of the services that a run calls: it calls them again.
func (n *Node) spend(now time.Time, c *call, notRun bool) bool {
	costs := []frame.ServiceCalls{{Service: c.service, Calls: 1}}
	if !notRun {
		spread, ok := n.spreads[c.key]
		if !n.traced {
			spread, ok = n.assumedSpread(c.service), true
		}
		if !ok {
			return false
		}
		costs = append(costs, spread...)
	}
	nodes, level := n.registry.Len(), c.offer.Priority.Level()
	for _, s := range costs {
		if !n.allowance(s.Service).Allows(now, nodes, level, float64(s.Calls)) {
			return false
		}
	}
	for _, s := range costs {
		n.allowance(s.Service).Spend(now, float64(s.Calls))
	}
	return true
}

// assumedSpread returns the calls that a run is taken to cause while no node has
// traced a call to its run. Without it, the calls of repeated runs would go
// beyond the budgets unseen where calls cannot be traced.
func (n *Node) assumedSpread(own string) []frame.ServiceCalls {
	var all []frame.ServiceCalls
	for _, service := range n.roster.Services() {
		if service != own {
			all = append(all, frame.ServiceCalls{Service: service, Calls: assumedCalls})
		}
	}
	return all
}
