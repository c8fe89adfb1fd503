package sidecar

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayapath/papayapath/internal/boottime"
	"github.com/papayapath/papayapath/internal/environment"
	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/upstream"
	"github.com/papayapath/papayapath/pkg/allowance"
	"github.com/papayapath/papayapath/pkg/demand"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/proof"
	"github.com/papayapath/papayapath/pkg/retryshare"
	"github.com/papayapath/papayapath/pkg/shedding"
)

const (
	// maxResends bounds the sends of one request after servers shed it. If they shed 0.6
	// of what they get, one request in 3,500 needs more.
	maxResends = 16
	// maxCredit bounds the requests that count with one offer. A node counts some hundred
	// a second.
	maxCredit = 1 << 12
	permille  = 1000
)

// sharing holds what a node knows of shedding servers and spends of the retry budget if the
// settings call for it. It is guarded by Node.mu.
type sharing struct {
	meter shedding.Meter // of the local backend server
	// share is the part of the retry budget of the own service that belongs to the local
	// backend server. It bounds the repeats that are sent to that server.
	share *retryshare.Share
	// callShares are the parts of the retry budgets of other services that the calls of the
	// local backend server bring in. Runs that repeat others are limited to those whose
	// calls they cover.
	callShares map[string]*retryshare.Share
	clock      elapsedClock
	gate       *demand.Gate
	alerted    map[string]struct{} // services that this node has logged as shedding
	used       int64               // repeats and refusals when the use was logged last
}

func newSharing(now time.Time, env *environment.Environment) *sharing {
	s := &sharing{
		callShares: make(map[string]*retryshare.Share),
		gate:       demand.New(env.RetryBudgetRatio, env.RetryBudgetSlack, env.RetryBudgetWindow),
		alerted:    make(map[string]struct{}),
	}
	var options []retryshare.Option
	if env.FirstStart {
		options = append(options, retryshare.WithoutPredecessor())
	}
	s.share = retryshare.New(s.clock.at(now), env.RetryBudgetRatio, env.RetryBudgetSlack, env.RetryBudgetWindow, options...)
	return s
}

// clockInterval is the interval at which an elapsedClock reads the system's clock.
const clockInterval = 100 * time.Millisecond

// elapsedClock tells the elapsed time, that for which the machine is suspended included. It
// follows the steady clock, which costs no system call, for a short time after each reading.
type elapsedClock struct{ steady, elapsed time.Time }

// at returns the elapsed time at a time of the steady clock.
func (c *elapsedClock) at(now time.Time) time.Time {
	if now.Sub(c.steady) > clockInterval {
		c.steady, c.elapsed = now, boottime.Now()
	}
	return c.elapsed.Add(now.Sub(c.steady))
}

// setNodes sets the numbers of nodes and of servers of the own service that share the slack
// of the retry budgets.
func (s *sharing) setNodes(now time.Time, env *environment.Environment, nodes, servers int) {
	s.gate.SetSlack(env.RetryBudgetSlack / float64(max(1, nodes)))
	s.share.SetServers(s.clock.at(now), servers)
}

// resends is the state of the repeated sends of a request.
type resends struct {
	next       frame.Repeat // of the next offer
	count      int          // sends after a server shed the request
	reached    []string     // nodes of the servers that the request has reached
	only       []string     // if not nil, the nodes to which the next offer may go
	isUnfunded bool         // a node refused it for want of retry budget
}

// allows reports whether the next offer may go to a node.
func (r *resends) allows(node string) bool { return r.only == nil || slices.Contains(r.only, node) }

// record records the answer to an offer, unless it ends the request.
func (r *resends) record(node string, a *frame.Answer) {
	if a.Sent && a.Outcome != outcome.Complete && !slices.Contains(r.reached, node) {
		r.reached = append(r.reached, node)
	}
	r.isUnfunded = r.isUnfunded || a.Reason == outcome.Budget
}

// countRequest counts a request or call for the retry budget of its service.
func (n *Node) countRequest(now time.Time, service string) {
	n.allowance(service).Request(now)
	if n.sharing != nil {
		n.sharing.gate.Count(now, service)
	}
}

// countCall counts a call of the local backend server for the retry budget of its service.
// A call of a run that is a repeat counts as a repeat itself.
func (n *Node) countCall(now time.Time, req *request) {
	if n.sharing == nil || req.parent.offer.Repeat == frame.First {
		n.countRequest(now, req.service)
		if n.sharing != nil {
			elapsed := n.sharing.clock.at(now)
			n.callShare(elapsed, req.service).Add(elapsed, 1)
		}
		return
	}
	n.stats.repeatCalls.Inc(1)
	req.resends.next = frame.Rerun
}

// allowanceOptions returns the options of the retry budgets.
func (n *Node) allowanceOptions() []allowance.Option {
	if n.sharing == nil {
		return nil
	}
	return []allowance.Option{allowance.WithEarlierRequests()}
}

// coversDemand reports whether the retry budgets are likely to cover the calls of a new
// request. Requests for which this is unknown are admitted.
func (n *Node) coversDemand(now time.Time, req *request) bool {
	if n.sharing == nil || !n.callsTraced {
		return true
	}
	for _, c := range n.fanouts[req.routeKey] {
		if !n.sharing.gate.Allows(now, c.Service, req.rank) {
			n.stats.budgetRefused.Inc(1)
			return false
		}
	}
	return true
}

// beginDemand records the admission of a request.
func (n *Node) beginDemand(now time.Time, req *request) {
	if n.sharing == nil {
		return
	}
	n.sharing.gate.BeginOwn(now, req.service)
	for _, c := range n.fanouts[req.routeKey] {
		n.sharing.gate.Begin(now, c.Service, float64(c.Calls))
	}
}

// creditFor returns the requests and calls that count for the server of a node with the
// next offer to it.
func (n *Node) creditFor(now time.Time, service, node string) int {
	if n.sharing == nil {
		return 0
	}
	return n.sharing.gate.Credit(now, service, node)
}

// mayResend reports whether a request that a server shed may be sent again, and prepares
// the next offer. Servers that it has not reached come first. The node beside the server
// charges the retry.
func (n *Node) mayResend(req *request, a *frame.Answer) bool {
	r := &req.resends
	if r.count >= maxResends {
		return false
	}
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	// The share of this node limits only how often it chooses a shedding server while
	// there are others.
	n.allowance(req.service).Spend(now, 1)
	if !req.offer.Nested && !n.sharing.gate.AllowsRetry(now, req.service, req.rank) {
		return false
	}
	r.only = nil
	if len(r.reached) >= req.route.MaxAttempts() {
		r.only = r.reached
	}
	if node := n.chooseNode(now, req); node == "" || !r.allows(node) {
		r.only = r.reached
		req.triedNodes = slices.DeleteFunc(req.triedNodes, func(node string) bool { return slices.Contains(r.reached, node) })
	}
	if node := n.chooseNode(now, req); node == "" || !r.allows(node) {
		return false
	}
	r.count++
	r.next = frame.Resent
	n.stats.resends.Inc(1)
	n.recordRetry(now, req, a)
	return true
}

// repeat is what an execution that is a repeat has been charged.
type repeat struct {
	at    time.Time // elapsed time; zero if nothing was charged
	calls []frame.ServiceCalls
}

// takeRepeat reports whether the retry budget covers an offer of the own service, and
// records what the offer tells of it.
func (n *Node) takeRepeat(now time.Time, ex *execution) bool {
	if n.sharing == nil {
		return true
	}
	o, s, elapsed := &ex.offer, n.sharing, n.sharing.clock.at(now)
	credit := max(0, min(maxCredit, o.Credit))
	n.stats.credited.Inc(int64(credit))
	s.share.Add(elapsed, float64(credit))
	if o.Repeat == frame.First {
		return true
	}
	n.refreshRoster(now)
	s.share.SetServers(elapsed, n.roster.Servers(n.env.Service))
	part := retryshare.Whole
	if o.Repeat == frame.Resent {
		part = retryshare.ResendPart(o.Priority.Level())
	}
	if !s.share.Covers(elapsed, part, 1) || o.Repeat == frame.Resent && !n.takeCalls(elapsed, ex) {
		n.stats.resendsRefused.Inc(1)
		return false
	}
	if o.Repeat == frame.Resent {
		n.stats.resendsTaken.Inc(1)
	} else {
		n.stats.rerunsTaken.Inc(1)
	}
	s.share.Spend(elapsed, 1)
	ex.repeat.at = elapsed
	return true
}

// takeCalls reports whether the requests of the called services cover the calls of a run
// that is a repeat, and charges them. The nodes beside the servers that are called refuse
// what is beyond the budget of their service; without this check they would refuse single
// calls of many runs, which then fail after most of their work.
func (n *Node) takeCalls(elapsed time.Time, ex *execution) bool {
	var calls []frame.ServiceCalls
	n.callGraph.Calls(ex.offer.Route, func(child message.Route, mean float64) {
		service := n.calledServices[child]
		for i := range calls {
			if calls[i].Service == service {
				calls[i].Calls += float32(mean)
				return
			}
		}
		calls = append(calls, frame.ServiceCalls{Service: service, Calls: float32(mean)})
	})
	for _, c := range calls {
		if !n.callShare(elapsed, c.Service).Covers(elapsed, retryshare.Whole, float64(c.Calls)) {
			return false
		}
	}
	for _, c := range calls {
		n.callShare(elapsed, c.Service).Spend(elapsed, float64(c.Calls))
	}
	ex.repeat.calls = calls
	return true
}

// returnRepeat returns what a repeat has been charged that is not sent to the server.
func (n *Node) returnRepeat(now time.Time, ex *execution) {
	if ex.repeat.at.IsZero() {
		return
	}
	n.sharing.share.Return(n.sharing.clock.at(now), ex.repeat.at, 1)
	n.returnCalls(now, ex)
	ex.repeat = repeat{}
}

// returnCalls returns the calls that a repeat has been charged and that its run, which the
// server shed, has not made.
func (n *Node) returnCalls(now time.Time, ex *execution) {
	for _, c := range ex.repeat.calls {
		n.callShare(ex.repeat.at, c.Service).Return(n.sharing.clock.at(now), ex.repeat.at, float64(c.Calls))
	}
	ex.repeat.calls = nil
}

// callShare returns the part of the retry budget of a service that the calls of the local
// backend server bring in.
func (n *Node) callShare(elapsed time.Time, service string) *retryshare.Share {
	s := n.sharing.callShares[service]
	if s == nil {
		s = retryshare.New(elapsed, n.env.RetryBudgetRatio, 0, n.env.RetryBudgetWindow)
		n.sharing.callShares[service] = s
	}
	return s
}

// takeDelayedRepeat charges a repeat anew that was queued for long: it counts in the
// windows in which it is sent. It reports whether the retry budget covers it.
func (n *Node) takeDelayedRepeat(now time.Time, ex *execution) bool {
	if ex.repeat.at.IsZero() {
		return true
	}
	s, elapsed := n.sharing.share, n.sharing.clock.at(now)
	if elapsed.Sub(ex.repeat.at) <= s.MaxDelay() {
		return true
	}
	s.Return(elapsed, ex.repeat.at, 1)
	if !s.Covers(elapsed, retryshare.Whole, 1) {
		n.stats.resendsRefused.Inc(1)
		n.returnCalls(now, ex)
		ex.repeat = repeat{}
		return false
	}
	s.Spend(elapsed, 1)
	ex.repeat.at = elapsed
	return true
}

// creditedOnArrival returns the requests that an offer brings to the retry budget. Those of
// a delayed offer may count in another window than the observer's.
func (n *Node) creditedOnArrival(o *frame.Offer, delay time.Duration) int {
	if n.sharing != nil && delay > n.sharing.share.MaxDelay()-n.sharing.gate.CreditTime() {
		return 0
	}
	return o.Credit
}

// logRetryBudget logs the use of the retry budget of the local backend server, if it has
// been used since the last call.
func (n *Node) logRetryBudget(now time.Time) {
	if n.sharing == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.stats
	used := s.resendsTaken.Count() + s.rerunsTaken.Count() + s.resendsRefused.Count() + s.repeatCalls.Count()
	if used == n.sharing.used {
		return
	}
	n.sharing.used = used
	n.journal.WriteSampled(now, event.RetryBudgetInUse, func() logrus.Fields {
		return logrus.Fields{
			"service": n.env.Service, "credited": s.credited.Count(), "resent": s.resendsTaken.Count(), "rerun": s.rerunsTaken.Count(),
			"refused": s.resendsRefused.Count(), "calls": s.repeatCalls.Count(), "servers": n.roster.Servers(n.env.Service),
		}
	})
}

// recordShedding records whether the local backend server has shed a request.
func (n *Node) recordShedding(a *upstream.Answer) {
	if n.sharing != nil && (a.Sent || a.Err == nil) {
		n.sharing.meter.Record(a.NotRun && a.Sent)
	}
}

// shedRates returns what an answer tells of services that shed.
func (n *Node) shedRates(now time.Time) []frame.ServiceRate {
	if n.sharing == nil {
		return nil
	}
	var all []frame.ServiceRate
	if rate := n.sharing.meter.Rate(); rate > 0 {
		all = append(all, frame.ServiceRate{Service: n.env.Service, Rate: float32(rate)})
	}
	n.sharing.gate.Rates(now, func(service string, rate float64) {
		if service != n.env.Service {
			all = append(all, frame.ServiceRate{Service: service, Rate: float32(rate)})
		}
	})
	return all
}

// learnShedding records what an answer tells of services that shed: the server that
// gives it, and the services that its run has called. A service that it does not mention
// sheds no more.
func (n *Node) learnShedding(now time.Time, p *pending, a *frame.Answer) {
	if n.sharing == nil || len(a.Sheds) == 0 && n.sharing.gate.IsCalm() {
		return
	}
	rate := func(service string) float64 {
		for _, s := range a.Sheds {
			if s.Service == service {
				return float64(s.Rate)
			}
		}
		return 0
	}
	service := p.request.service
	if a.Sent || a.Outcome == outcome.Complete {
		n.sharing.gate.LearnServer(now, service, p.node, rate(service), n.roster.Servers(service))
		n.logShedding(now, service)
	}
	for _, c := range n.fanouts[p.request.routeKey] {
		// A run that failed, or seldom calls the service, may not have called it.
		hasCalled := a.Outcome == outcome.Complete && !proof.New(a.Status).IsFailure() && c.Calls >= 1
		if v := rate(c.Service); c.Service != service && (v > 0 || hasCalled) {
			n.sharing.gate.Learn(now, c.Service, v)
			n.logShedding(now, c.Service)
		}
	}
}

// logShedding logs that a service has begun or ceased to shed.
func (n *Node) logShedding(now time.Time, service string) {
	rate := n.sharing.gate.Rate(service)
	_, wasShedding := n.sharing.alerted[service]
	switch {
	case rate > 0 && !wasShedding:
		n.sharing.alerted[service] = struct{}{}
		n.journal.WriteSampled(now, event.ServiceSheds, func() logrus.Fields {
			return logrus.Fields{"service": service, "rate": rate}
		})
	case rate == 0 && wasShedding:
		delete(n.sharing.alerted, service)
		n.journal.WriteSampled(now, event.ServiceRecovered, func() logrus.Fields {
			return logrus.Fields{"service": service}
		})
	}
}
