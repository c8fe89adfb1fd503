package sidecar

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/framing"
	"github.com/papayapath/papayapath/internal/ingress"
	"github.com/papayapath/papayapath/internal/peer"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/latency"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/payload"
	"github.com/papayapath/papayapath/pkg/proof"
	"github.com/papayapath/papayapath/pkg/roster"
)

const (
	// deadlineMargin is subtracted from the deadline of an offer, so that the
	// answer of the executing node arrives before the deadline of the request.
	deadlineMargin = 10 * time.Millisecond
	// maxOffersPerRequest bounds the number of offers of one request.
	maxOffersPerRequest = 4
	// assumedCallsPerService is the assumed number of nested calls of an
	// execution to each other service while call tracing has no data. It is the
	// largest number that requests make in the two known deployments.
	assumedCallsPerService = 8
)

// offerResult is the answer to an offer, with the response body.
type offerResult struct {
	answer   frame.Answer
	body     *payload.Body
	pending  *pending // what it answers
	linkLost bool     // it stands for the answer that was due when the link ended
}

// pending is an offer that has not been answered.
type pending struct {
	request *request
	node    string     // node that received the offer
	link    *peer.Link // nil for the local backend server
	sentAt  time.Time
	wait    time.Duration // for the answer
	notice  *frame.Notice // what the server has said of itself, if anything
	credit  int           // requests and calls that the offer brings to the server's retry budget
}

// sendOffer offers a request to the best node that has not been tried. If there is
// none, it returns the reason.
func (n *Node) sendOffer(req *request) outcome.Reason {
	for {
		now := time.Now()
		id, p, reason := n.openOffer(now, req)
		if reason != outcome.None {
			return reason
		}
		o := req.offer
		o.ID, o.Wait, o.Sent, o.Notice = id, p.wait, now.Sub(n.started), p.notice
		o.Repeat, o.Credit = req.resends.next, p.credit
		o.Objective = n.offeredObjective(now, req)
		if p.link == nil {
			req.body.Retain()
			n.acceptOffer(now, nil, &o, req.body)
			return outcome.None
		}
		// If the offer can no longer be withdrawn, the link has closed in the
		// meantime and the offer already has a result.
		if peer.Send(p.link, frame.KindOffer, &o, req.body) || !n.withdrawOffer(id) {
			return outcome.None
		}
		req.removeOffer(id)
	}
}

// openOffer chooses a node for the next offer of a request and registers the
// offer as pending.
func (n *Node) openOffer(now time.Time, req *request) (uint64, *pending, outcome.Reason) {
	n.mu.Lock()
	defer n.mu.Unlock()
	due := req.deadline.Add(-deadlineMargin)
	wait := n.boundBeforeExit(due).Sub(now)
	switch {
	case !due.After(now):
		return 0, nil, outcome.Expired
	case wait <= 0:
		return 0, nil, outcome.Draining
	}
	node := n.chooseNode(now, req)
	switch {
	case node == "" && req.offerCount == 0:
		return 0, nil, outcome.Unavailable
	case node == "" && req.resends.isUnfunded:
		return 0, nil, outcome.Budget
	case node == "" || req.offerCount-req.resends.count >= maxOffersPerRequest:
		return 0, nil, outcome.Overload
	}
	p := &pending{request: req, node: node, sentAt: now, wait: wait, notice: n.notices[node]}
	if node != n.self.Node {
		if p.link = n.mesh.Link(node); p.link == nil {
			return 0, nil, outcome.Unavailable
		}
	}
	p.credit = n.creditFor(now, req.service, node)
	req.triedNodes = append(req.triedNodes, node)
	req.offerCount++
	n.roster.Begin(node)
	n.countOffer(node)
	id := n.offerCount.Add(1)
	n.pending[id] = p
	req.openOffers = append(req.openOffers, id)
	return id, p, outcome.None
}

// withdrawOffer removes a pending offer that was not sent. It returns false if the
// offer already has a result.
func (n *Node) withdrawOffer(id uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.pending[id]
	if p == nil {
		return false
	}
	n.removeOffer(id, p)
	return true
}

// removeOffer removes an offer from the pending offers. The caller must hold n.mu.
func (n *Node) removeOffer(id uint64, p *pending) {
	delete(n.pending, id)
	n.roster.End(p.node)
}

// cancelOffers cancels the open offers of a request.
func (n *Node) cancelOffers(req *request, overdue bool) {
	for _, id := range req.openOffers {
		n.cancelOffer(id, overdue)
	}
	req.openOffers = nil
}

// cancelOffer cancels an offer whose answer is no longer needed. If the answer is
// overdue, the time waited is recorded against the node.
func (n *Node) cancelOffer(id uint64, overdue bool) {
	now := time.Now()
	n.mu.Lock()
	p := n.pending[id]
	if p != nil {
		n.removeOffer(id, p)
		if overdue {
			n.roster.RecordOverdue(now, p.node, now.Sub(p.sentAt))
		}
	}
	n.mu.Unlock()
	switch {
	case p == nil:
	case p.link == nil:
		n.cancelExecution(now, executionKey{id: id}, 0)
	default:
		peer.Send(p.link, frame.KindCancel, frame.Cancel{ID: id, Sent: now.Sub(n.started)}, nil)
	}
}

// handleAnswer updates the load and latency records from the answer to an offer
// and passes the answer to the request.
func (n *Node) handleAnswer(now time.Time, from *peer.Link, a *frame.Answer, body *payload.Body) {
	n.mu.Lock()
	p := n.pending[a.ID]
	if p == nil || p.link != from {
		n.mu.Unlock()
		body.Release()
		return
	}
	n.removeOffer(a.ID, p)
	n.recordPeerNotice(p.node, a)
	n.learnShedding(now, p, a)
	n.roster.RecordReport(now, p.node, roster.Report{
		Load: a.Load, Limit: a.Limit, Time: a.Time, Share: n.intakeShare(p.node), Failed: a.Sent && a.Outcome != outcome.Complete,
		Lost: a.Sent && a.Outcome == outcome.Unknown,
	})
	n.recordOutlook(now, p, a)
	p.request.queueDelay += a.QueueDelay
	p.request.overloaded = p.request.overloaded || a.CallRefused
	p.request.capacityRefused = p.request.capacityRefused || a.Outcome == outcome.NotRun && !a.Sent && isCapacityReason(a.Reason)
	if a.Outcome == outcome.Complete {
		recordLatency(n.latencies, p.request.routeKey, now.Sub(p.sentAt))
	}
	if a.HasFanout {
		n.fanouts[p.request.routeKey] = a.Fanout
		n.callsTraced = n.callsTraced || len(a.Fanout) > 0
	}
	n.mu.Unlock()
	p.request.results <- &offerResult{answer: *a, body: body, pending: p}
}

// correctAnswer gives an answer of another node that is none an unknown outcome: one
// without an outcome, or one whose status or header section would reach the client as a
// malformed response, or as several. A refusal by the limit of a customer gets another
// reason.
func correctAnswer(a *frame.Answer) {
	isValid := a.Outcome == outcome.NotRun ||
		a.Outcome == outcome.Complete && a.Status >= fasthttp.StatusOK && a.Status <= maxStatus && framing.CheckFields(a.Head) == nil
	if !isValid {
		a.Outcome, a.Reason, a.Sent = outcome.Unknown, outcome.Broken, true
	}
	if a.Reason == outcome.Rate {
		// Only the entry node applies the limit of a customer, if there is one.
		a.Reason = outcome.Unavailable
	}
}

// maxStatus is the highest status that HTTP defines (RFC 9110, section 15).
const maxStatus = 599

// recordLatency records a latency of a route.
func recordLatency(estimators map[message.Route]*latency.Estimator, key message.Route, d time.Duration) {
	estimator := estimators[key]
	if estimator == nil {
		if len(estimators) >= maxTrackedRoutes {
			clear(estimators)
		}
		estimator = &latency.Estimator{}
		estimators[key] = estimator
	}
	estimator.Add(d)
}

// handleResult returns the response that follows from the result of an offer. It
// returns false if another offer of the request is open or has been sent.
func (n *Node) handleResult(now time.Time, req *request, r *offerResult) (ingress.Response, bool) {
	a := &r.answer
	if a.Sent {
		req.serverAttempts++
	}
	req.resends.record(r.pending.node, a)
	failed := a.Outcome == outcome.Complete && n.hasFailed(now, req, a)
	if failed || a.Sent && a.Outcome == outcome.Unknown {
		decider := "answer"
		if r.linkLost {
			decider = "link"
		}
		req.unknownOutcome, req.lastRun = true, n.runOf(now, r.pending, decider)
	}
	switch {
	case a.Outcome == outcome.Complete && !failed:
		n.stats.latency.Add(now, now.Sub(req.arrival))
		return ingress.Response{Status: a.Status, Head: a.Head, Body: r.body}, true
	case len(req.openOffers) > 0:
		r.body.Release()
		return ingress.Response{}, false
	case a.Reason == outcome.Suspect:
		return n.endUnanswered(req, a.Reason), true
	}
	reason := a.Reason
	if req.isUnwanted() || req.client.HasLeft() {
		reason = outcome.Canceled
	} else if a.Outcome == outcome.NotRun && !a.Sent || n.mayRetry(req, a) {
		reason = n.sendOffer(req)
		if reason == outcome.None {
			r.body.Release()
			return ingress.Response{}, false
		}
	}
	if failed && proof.New(a.Status).MayReach(req.route.Repeatable()) {
		return ingress.Response{Status: a.Status, Head: a.Head, Body: r.body}, true
	}
	r.body.Release()
	return n.endUnanswered(req, reason), true
}

// hasFailed reports whether a server has run a request and failed, so that another one may
// serve it. One that gave it up at its deadline has not, unless that was too early.
func (n *Node) hasFailed(now time.Time, req *request, a *frame.Answer) bool {
	if a.Status == fasthttp.StatusGatewayTimeout {
		return n.endedEarly(now, req)
	}
	return proof.New(a.Status).IsFailure()
}

// endedEarly reports whether a server gave up a request at its deadline though there is
// time for another answer, as a server does whose node is stopping.
func (n *Node) endedEarly(now time.Time, req *request) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.boundBeforeExit(req.deadline).Sub(now) > minAnswerTime
}

// mayRetry reports whether a request that reached a backend server may be sent to
// another one, and charges the retry to the retry budgets.
func (n *Node) mayRetry(req *request, a *frame.Answer) bool {
	if n.sharing != nil && a.Outcome == outcome.NotRun {
		return n.mayResend(req, a)
	}
	if req.serverAttempts >= req.route.MaxAttempts() || a.Outcome != outcome.NotRun && !req.route.Repeatable() {
		return false
	}
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.chooseNode(now, req) == "" || !n.takeRetryBudget(now, req, a.Outcome == outcome.NotRun) {
		return false
	}
	req.resends.next = frame.Rerun
	n.recordRetry(now, req, a)
	return true
}

// recordRetry counts and logs that a request is sent again.
func (n *Node) recordRetry(now time.Time, req *request, a *frame.Answer) {
	n.stats.retries.Inc(1)
	n.journal.WriteSampled(now, event.RequestRetried, func() logrus.Fields {
		f := req.logFields()
		f["outcome"], f["status"] = a.Outcome.String(), a.Status
		return f
	})
}

// takeRetryBudget charges a retry to the retry budget of the service. Unless the
// first attempt did not run, it also charges the services that an execution
// calls, since a repeated execution calls them again. It returns false and charges
// nothing if a budget is exhausted.
func (n *Node) takeRetryBudget(now time.Time, req *request, notRun bool) bool {
	costs := []frame.ServiceCalls{{Service: req.service, Calls: 1}}
	if !notRun {
		fanout, ok := n.fanouts[req.routeKey]
		if !n.callsTraced {
			fanout, ok = n.assumedFanout(req.service), true
		}
		if !ok {
			return false
		}
		costs = append(costs, fanout...)
	}
	nodes, level := n.registry.Len(), req.offer.Priority.Level()
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

// assumedFanout returns the nested calls that an execution is assumed to cause
// while no node has traced a call to its parent. Without this assumption, the
// nested calls of retries would exceed the retry budgets unnoticed where calls
// cannot be traced.
func (n *Node) assumedFanout(ownService string) []frame.ServiceCalls {
	var all []frame.ServiceCalls
	for _, service := range n.roster.Services() {
		if service != ownService {
			all = append(all, frame.ServiceCalls{Service: service, Calls: assumedCallsPerService})
		}
	}
	return all
}
