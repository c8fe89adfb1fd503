package sidecar

import (
	"iter"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/ingress"
	"github.com/papayapath/papayapath/pkg/allowance"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/proof"
	"github.com/papayapath/papayapath/pkg/quarantine"
	"github.com/papayapath/papayapath/pkg/routing"
	"github.com/papayapath/papayapath/pkg/window"
)

const (
	// firstOfferWaitDivisor divides the latency objective to give the longest
	// time that a new request waits for a backend server before it is refused.
	firstOfferWaitDivisor = 8
	// nestedCallWait is how long a nested call waits for a backend server of its
	// service. It covers the time that nodes started together need to discover
	// each other.
	nestedCallWait = time.Second
	// configurationPolls is the number of polls for a configuration before a
	// request is refused. At pollInterval they take 100 ms, several times the
	// response time of the platform log.
	configurationPolls = 5
	// pollInterval is the interval between polls for a backend server or a
	// configuration.
	pollInterval = 20 * time.Millisecond
	// minHedgeDelay is the shortest delay before a response counts as overdue.
	// It exceeds process and scheduling pauses, which take up to about 10 ms.
	minHedgeDelay = 50 * time.Millisecond
)

// Handle processes a client request and returns its response.
func (n *Node) Handle(r *ingress.Request) ingress.Response {
	n.stats.requests.Inc(1)
	id, timeout := n.codec.Request(r.Header)
	if timeout == 0 {
		timeout = defaultTimeout
	}
	table := n.awaitConfiguration(r.Disconnected)
	if table == nil {
		req := &request{id: id, arrival: r.ReceivedAt, clientDeadline: r.ReceivedAt.Add(timeout), client: r}
		return n.endUnanswered(req, outcome.Unavailable)
	}
	route := findRoute(table, r.Header)
	if route == nil {
		n.stats.unrouted.Inc(1)
		return ingress.Response{Status: fasthttp.StatusNotFound, Head: n.codec.AppendRequestID(nil, id)}
	}
	from, failure := n.identify(table, route, r.Header)
	switch failure {
	case identified:
	case unconfirmed:
		return n.refuse(n.newRequest(id, timeout, route, sender{hasKeys: true}, r), outcome.Unavailable)
	default:
		return n.rejectKey(id, route, failure)
	}
	req := n.newRequest(id, timeout, route, from, r)
	req.configVersion = table.Version()
	if reason := n.takeToken(req); reason != outcome.None {
		return n.endUnanswered(req, reason)
	}
	reason, admission := n.admit(req)
	if admission != nil {
		reason = n.awaitAdmission(req, admission)
	}
	if reason != outcome.None {
		if reason != outcome.Canceled {
			n.recordService(req, false)
		}
		if admission != nil && req.isDisconnected() {
			return n.abandon(req)
		}
		return n.refuse(req, reason)
	}
	reply := n.dispatch(req)
	n.recordEnd(req)
	n.recordService(req, !proof.New(reply.Status).IsFailure())
	return reply
}

// recordService records whether a request of a client was served, unless the client has
// left. Requests beyond the limit of their customer do not count.
func (n *Node) recordService(req *request, served bool) {
	if !n.env.Pool || req.offer.Nested || req.isDisconnected() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	switch {
	case !req.isPromoted:
		n.starvation.Record(now, req.routeKey, served)
	case !served:
		n.starvation.Fail(now, req.routeKey, req.admitted)
	}
	if req.serverAttempts > 0 && !req.isPromoted && (served || req.overloaded) {
		n.prospects.Record(now, req.routeKey, served)
	}
}

// recordEnd adds the queue delay of a finished request to the execution that sent
// it, or reports it to the window that counts the request. If the delay is
// unknown, the window only releases the request.
func (n *Node) recordEnd(req *request) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case req.parent != nil:
		req.parent.queueDelay += req.queueDelay
		req.parent.placed.calls.end(now)
		req.parent.overloaded = req.parent.overloaded || req.overloaded
	case req.window == nil:
	case req.delayUnknown:
		req.window.Release()
		n.admitWaiting(now, req.routeKey, req.window)
	default:
		req.window.End(now, window.Sample{Start: req.admitted, QueueDelay: req.queueDelay, Refused: req.overloaded})
		n.admitWaiting(now, req.routeKey, req.window)
	}
}

// awaitConfiguration returns the routing table. After a start it waits briefly
// for the first one; the result is nil if none arrives or the client leaves. A stopping
// node does not wait: with requests that wait all the time it would never be idle.
func (n *Node) awaitConfiguration(disconnected <-chan struct{}) *routing.Table {
	for range configurationPolls {
		if t := n.table.Load(); t != nil || n.isStopping() {
			return t
		}
		select {
		case <-disconnected:
			return nil
		case <-time.After(pollInterval):
		}
	}
	return n.table.Load()
}

// isStopping reports whether the node has received the signal to stop.
func (n *Node) isStopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopping
}

// findRoute returns the route that matches the host and path of a request.
func findRoute(t *routing.Table, h *fasthttp.RequestHeader) *routing.Route {
	path, _, _ := strings.Cut(string(h.RequestURI()), "?")
	host := strings.ToLower(string(h.Host()))
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	return t.Lookup(host, path)
}

// admit performs admission control. Nested calls of executions on the local
// backend server belong to requests that were admitted before; they are admitted
// unless the process is about to exit. They inherit the priority of the parent
// request instead of using that of their own route, so that a call on behalf of a
// less important request cannot displace a more important request.
//
// If the request has to wait for its admission, the decision comes on the returned
// channel.
func (n *Node) admit(req *request) (outcome.Reason, <-chan outcome.Reason) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	req.service = req.route.ChooseService()
	req.routeKey = message.RouteOf(req.service, "", req.route.Name())
	req.offer.Service, req.offer.Route = req.service, req.routeKey
	if n.quarantine.Check(now, quarantineRequest(&req.offer)) == quarantine.Refuse {
		return outcome.Suspect, nil
	}
	estimator := n.latencies[req.routeKey]
	parent, isWithdrawn := n.parent(now, req.id)
	if isWithdrawn {
		n.stats.unwantedCalls.Inc(1)
		return outcome.Canceled, nil
	}
	if parent != nil {
		if n.exitDecided || !n.answersBeforeExit(now, req.deadline, longestAnswer(estimator)) {
			return outcome.Draining, nil
		}
		req.offer.Nested = true
		req.parent, req.withdrawn = parent, parent.withdrawnChannel()
		parent.placed.calls.begin(now)
		n.countCall(now, req)
		req.offer.Priority = parent.offer.Priority
		n.inheritObjective(req)
		n.callGraph.Call(parent.offer.Route, req.routeKey)
		n.calledServices[req.routeKey] = req.service
		return outcome.None, nil
	}
	need := longestAnswer(estimator)
	if req.route.Repeatable() {
		// The client can send it again.
		need = likelyAnswer(estimator)
	}
	if n.exitDecided || n.stopping && now.After(n.admissionEnd) || !n.answersBeforeExit(now, req.deadline, need) {
		return outcome.Draining, nil
	}
	n.countRequest(now, req.service)
	isStarved := n.env.Pool && n.starvation.IsStarved(now, req.routeKey)
	if isStarved {
		// Refusals and strict priority would leave it without any service.
		n.stats.starved.Inc(1)
		req.offer.Priority, req.rank = req.offer.Priority.WithLevel(importance.Critical), 1
	}
	w := n.window(req.routeKey, req.route)
	switch {
	case !n.coversDemand(now, req):
		return outcome.Budget, nil
	case isStarved:
		req.isPromoted = true
		req.admitted = now
		n.starvation.Promote(now, req.routeKey)
	case n.env.Pool && !n.prospects.Allows(now, req.routeKey):
		n.stats.hopeless.Inc(1)
		return outcome.Overload, nil
	case w.Admit(now):
		req.window, req.admitted = w, now
	case n.callsTraced:
		if n.env.Pool {
			if admission := n.waitForWindow(now, req, w); admission != nil {
				return outcome.None, admission
			}
		}
		req.rejection = &windowState{size: int(w.Size()), inFlight: w.InFlight(), queueDelay: w.QueueDelay()}
		return outcome.Overload, nil
	}
	n.beginDemand(now, req)
	// If no call has ever been traced to its parent execution, this may be a
	// nested call of a request that was admitted elsewhere. Refusing it would
	// waste the work already done for that request.
	return outcome.None, nil
}

// window returns the window of a route and creates it if necessary.
func (n *Node) window(key message.Route, route *routing.Route) *window.Window {
	w := n.windows[key]
	if w == nil {
		if len(n.windows) >= maxTrackedRoutes {
			clear(n.windows)
		}
		objective := route.Objective()
		if n.env.Pool {
			objective = route.Useful()
		}
		w = window.New(objective)
		n.windows[key] = w
	}
	return w
}

// parent returns the execution that sent a nested call, identified by a
// dot-separated prefix of the request ID, or nil. It reports whether that execution
// was withdrawn: the backend server may go on with it, but nobody waits for it.
func (n *Node) parent(now time.Time, id string) (parent *execution, isWithdrawn bool) {
	for ancestor := range ancestors(id) {
		ex := n.runningByRequest[ancestor]
		switch {
		case ex != nil && !ex.canceled:
			return ex, false
		case ex != nil, n.withdrawals.Contains(now, ancestor):
			return nil, true
		}
	}
	return nil, false
}

// ancestors yields the possible IDs of the requests that caused a request, the
// closest first.
func ancestors(id string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for i := len(id) - 1; i > 0; i-- {
			if id[i] == '.' && !yield(id[:i]) {
				return
			}
		}
	}
}

func (n *Node) allowance(service string) *allowance.Allowance {
	a := n.retryBudgets[service]
	if a == nil {
		a = allowance.New(n.env.RetryBudgetRatio, n.env.RetryBudgetSlack, n.env.RetryBudgetWindow, n.allowanceOptions()...)
		n.retryBudgets[service] = a
	}
	return a
}

// maxTrackedRoutes bounds the tables that are keyed by route.
const maxTrackedRoutes = 4096

// dispatch offers a request to nodes until it has a response.
func (n *Node) dispatch(req *request) ingress.Response {
	if reason := n.sendFirstOffer(req); reason != outcome.None {
		return n.endUnanswered(req, reason)
	}
	hedgeDelay := n.hedgeDelay(req)
	timer := time.NewTimer(req.untilNextCheck(hedgeDelay))
	defer timer.Stop()
	withdrawn := req.withdrawn
	var callerStayed <-chan time.Time
	for {
		select {
		case result := <-req.results:
			req.removeOffer(result.answer.ID)
			if reply, ok := n.handleResult(time.Now(), req, result); ok {
				n.cancelOffers(req, false)
				return reply
			}
		case <-req.client.Disconnected:
			return n.abandon(req)
		case <-n.exiting:
			return n.endAtExit(req)
		case <-withdrawn:
			withdrawn = nil
			n.withdrawQueued(req)
			callerStayed = time.After(callerCloseTime)
		case <-callerStayed:
			if reply, ok := n.withdrawCall(time.Now(), req); ok {
				return reply
			}
		case <-timer.C:
			if hedgeDelay == 0 {
				return n.timeOut(req)
			}
			hedgeDelay = 0
			timer.Reset(req.untilNextCheck(0))
			n.hedge(req)
		}
	}
}

// endAtExit ends a request that is open when the node exits, with the answer of its
// server if that has arrived.
func (n *Node) endAtExit(req *request) ingress.Response {
	for range len(req.results) {
		result := <-req.results
		req.removeOffer(result.answer.ID)
		if reply, ok := n.handleResult(time.Now(), req, result); ok {
			return reply
		}
	}
	n.recordOpenRun(req, "exit")
	req.delayUnknown = true
	return n.endUnanswered(req, outcome.Draining)
}

// sendFirstOffer makes the first offer of a request. If no backend server of the
// service is known, for example just after a start, it waits for one: briefly for
// a new request, which the client can repeat, and longer for a nested call, whose
// refusal would waste the work of its parent execution.
func (n *Node) sendFirstOffer(req *request) outcome.Reason {
	if req.isUnwanted() {
		return outcome.Canceled
	}
	maxWait := min(req.route.Objective()/firstOfferWaitDivisor, time.Until(req.deadline))
	if req.offer.Nested {
		maxWait = min(nestedCallWait, time.Until(req.deadline))
	}
	reason := n.sendOffer(req)
	if reason != outcome.Unavailable {
		return reason
	}
	start := time.Now()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for reason == outcome.Unavailable && time.Since(start) < maxWait {
		select {
		case <-req.client.Disconnected:
			return outcome.Canceled
		case <-req.withdrawn:
			return outcome.Canceled
		case <-ticker.C:
			reason = n.sendOffer(req)
		}
	}
	n.mu.Lock()
	req.queueDelay += time.Since(start)
	req.overloaded = req.overloaded || req.offer.Nested && reason == outcome.Unavailable
	n.mu.Unlock()
	return reason
}

// hedgeDelay returns the delay after which a repeatable request is hedged to
// another backend server, or 0 if it is not hedged.
func (n *Node) hedgeDelay(req *request) time.Duration {
	if !req.route.Repeatable() || req.serverAttempts+1 >= req.route.MaxAttempts() {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	estimator := n.latencies[req.routeKey]
	if estimator == nil {
		return 0
	}
	overdueAfter, remaining := estimator.OverdueAfter(), time.Until(req.deadline)
	if overdueAfter == 0 || remaining-overdueAfter < estimator.Mean() {
		return 0
	}
	return max(overdueAfter, minHedgeDelay)
}

// hedge offers a request with an overdue response to a second backend server, if
// that server has free capacity and the retry budgets permit another execution.
// The first offer stays open, since its response may still arrive.
func (n *Node) hedge(req *request) {
	if req.client.HasLeft() || req.isUnwanted() {
		return
	}
	now := time.Now()
	n.mu.Lock()
	allowed := !n.stopping && req.offerCount == 1 && len(req.openOffers) == 1 && n.roster.HasCapacity(n.chooseNode(now, req)) && n.takeRetryBudget(now, req, false)
	if allowed {
		if p := n.pending[req.openOffers[0]]; p != nil {
			n.roster.RecordOverdue(now, p.node, now.Sub(p.sentAt))
		}
		n.stats.retries.Inc(1)
		req.resends.next = frame.Rerun
	}
	n.mu.Unlock()
	if !allowed {
		return
	}
	n.journal.WriteSampled(now, event.RequestRetried, func() logrus.Fields {
		f := req.logFields()
		f["outcome"] = "overdue"
		return f
	})
	n.sendOffer(req)
}

// timeOut ends a request that has reached its deadline.
func (n *Node) timeOut(req *request) ingress.Response {
	n.recordOpenRun(req, "deadline")
	n.cancelOffers(req, true)
	req.delayUnknown = true
	n.stats.expired.Inc(1)
	n.journal.WriteSampled(time.Now(), event.RequestTimedOut, func() logrus.Fields { return n.unansweredFields(req) })
	return ingress.Response{Status: fasthttp.StatusGatewayTimeout, Head: n.codec.AppendRequestID(nil, req.id)}
}
