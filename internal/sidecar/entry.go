package sidecar

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/ingress"
	"github.com/papayapath/papayapath/internal/peer"
	"github.com/papayapath/papayapath/pkg/allowance"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/latency"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/priority"
	"github.com/papayapath/papayapath/pkg/quarantine"
	"github.com/papayapath/papayapath/pkg/refusal"
	"github.com/papayapath/papayapath/pkg/routing"
	"github.com/papayapath/papayapath/pkg/window"
)

const (
	// margin is the time before the end of a request at which the node beside
	// the server gives up, so that its answer arrives before the end.
	margin = 10 * time.Millisecond
	// defaultWait applies to requests that do not say how long they wait.
	defaultWait = 30 * time.Second
	// maxOffers bounds the nodes to which one request is offered.
	maxOffers = 4
	// promptPart is the divisor of the latency objective that gives how long a
	// new request is held at most before it is refused.
	promptPart = 8
	// callPatience is how long a call waits for a server of its service. Nodes
	// that start together find each other within it.
	callPatience = time.Second
	// tableChecks is how often a request looks for a configuration before it is
	// refused: 100 ms, several times what the platform log takes to answer.
	tableChecks = 5
	// serverCheck is how often a request without a server or a
	// configuration looks for one.
	serverCheck = 20 * time.Millisecond
	// minPatience is the shortest time after which an answer counts as overdue.
	// Pauses of a process or its scheduling take up to some 10 ms.
	minPatience = 50 * time.Millisecond
)

// call is one request at the node where it arrived.
type call struct {
	id       string
	route    *routing.Route
	key      message.Route
	service  string
	offer    frame.Offer
	body     []byte
	start    time.Time
	end      time.Time // when the final answer is due
	leaves   time.Time // when the client leaves, at the end or later
	tried    []string
	open     []uint64 // offers without a result
	sends    int      // servers that the request may have reached
	offers   int
	doubtful bool           // an earlier attempt may have run
	parent   *run           // the run that makes the call, if one is known
	window   *window.Window // in which the request counts, nil for calls of runs
	full     *window.Window // the window that refused the request, if one did
	delay    time.Duration  // waited for places at servers, with all calls
	turned   bool           // a node had no place for it
	refused  bool           // it, or one of its calls, ended for want of a place
	version  uint64         // of the configuration
	results  chan result
}

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

// Handle answers a request of a client.
func (n *Node) Handle(r *ingress.Request) ingress.Reply {
	n.figures.requests.Inc(1)
	id, wait := n.dialect.Request(r.Header)
	if wait == 0 {
		wait = defaultWait
	}
	table := n.awaitTable()
	if table == nil {
		return n.refuse(id, nil, r.Arrived.Add(wait), outcome.Unavailable, func() logrus.Fields {
			return logrus.Fields{"detail": "no configuration"}
		})
	}
	route := lookup(table, r.Header)
	if route == nil {
		n.figures.unrouted.Inc(1)
		return ingress.Reply{Status: fasthttp.StatusNotFound, Head: n.dialect.AppendRequestID(nil, id)}
	}
	c := n.newCall(id, wait, route, r)
	c.version = table.Version()
	if reason := n.admit(c); reason != outcome.None {
		return n.refuse(id, c, c.leaves, reason, c.fields)
	}
	reply := n.run(c, r.Gone)
	n.ended(c, reply.Broken)
	return reply
}

// ended passes the delay of a request on: to the run that made it, or to the
// window of its route, unless it was abandoned before it could tell.
func (n *Node) ended(c *call, abandoned bool) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case c.parent != nil:
		c.parent.delay += c.delay
		c.parent.refused = c.parent.refused || c.refused
	case c.window == nil:
	case abandoned:
		c.window.Leave()
	default:
		c.window.End(now, window.Sample{Start: c.start, Delay: c.delay, Refused: c.refused})
	}
}

// awaitTable returns the configuration. A node that has just started waits for
// it briefly.
func (n *Node) awaitTable() *routing.Table {
	for range tableChecks {
		if t := n.table.Load(); t != nil {
			return t
		}
		time.Sleep(serverCheck)
	}
	return n.table.Load()
}

// lookup finds the route of a request.
func lookup(t *routing.Table, h *fasthttp.RequestHeader) *routing.Route {
	path, _, _ := strings.Cut(string(h.RequestURI()), "?")
	host := strings.ToLower(string(h.Host()))
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	return t.Lookup(host, path)
}

func (n *Node) newCall(id string, wait time.Duration, route *routing.Route, r *ingress.Request) *call {
	leaves := r.Arrived.Add(wait)
	if t := route.Timeout(); t > 0 && t < wait {
		wait = t
	}
	c := &call{
		leaves:  leaves,
		id:      id,
		route:   route,
		body:    append([]byte(nil), r.Body...),
		start:   r.Arrived,
		end:     r.Arrived.Add(wait),
		results: make(chan result, maxOffers+1),
	}
	root, _, _ := strings.Cut(id, ".")
	method := r.Header.Method()
	c.offer = frame.Offer{
		Request:    id,
		Priority:   priority.New(route.Level(), root),
		Repeatable: route.Repeatable(),
		HasBody:    len(c.body) > 0 || string(method) != fasthttp.MethodGet && string(method) != fasthttp.MethodHead,
		HeadOnly:   r.Header.IsHead(),
		Origin:     n.env.Service,
		Content:    content(r.Header, c.body),
		Head:       n.dialect.AppendRequest(make([]byte, 0, 256), r.Header, n.env.Service),
	}
	return c
}

// content identifies what a request asks for, whatever its id.
func content(h *fasthttp.RequestHeader, body []byte) uint64 {
	d := xxhash.New()
	for _, b := range [...][]byte{h.Host(), h.Method(), h.RequestURI(), body} {
		d.Write(b)         //nolint:errcheck // never fails
		d.Write([]byte{0}) //nolint:errcheck // never fails
	}
	return d.Sum64()
}

// admit decides whether a request is begun. Calls of the own server's runs
// belong to requests that were admitted before, and always are. They have the
// priority of these, whatever that of their own route: a call for a less
// important request must not take the place of a more important request.
func (n *Node) admit(c *call) outcome.Reason {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	c.service = c.route.Choose()
	c.key = message.RouteOf(c.service, "", c.route.Name())
	c.offer.Service, c.offer.Route = c.service, c.key
	if n.quarantine.Check(now, quarantine.Request{Customer: n.env.Service, Content: c.offer.Content}) == quarantine.Refuse {
		return outcome.Suspect
	}
	if parent := n.parent(c.id); parent != nil {
		c.offer.Inner = true
		c.parent = parent
		n.allowance(c.service).Request(now)
		c.offer.Priority = parent.offer.Priority
		n.graph.Call(parent.offer.Route, c.key)
		n.services[c.key] = c.service
		return outcome.None
	}
	if n.stopping && now.After(n.closing) {
		return outcome.Draining
	}
	n.allowance(c.service).Request(now)
	w := n.window(c.key, c.route)
	if !w.Admit(now) {
		c.full = w
		return outcome.Overload
	}
	c.window = w
	return outcome.None
}

// window returns the window of a route, new if need be.
func (n *Node) window(key message.Route, route *routing.Route) *window.Window {
	w := n.windows[key]
	if w == nil {
		if len(n.windows) >= maxRoutes {
			clear(n.windows)
		}
		w = window.New(route.Objective())
		n.windows[key] = w
	}
	return w
}

// parent returns the run that makes a call, as far as the id of the call tells.
func (n *Node) parent(id string) *run {
	for i := len(id) - 1; i > 0; i-- {
		if id[i] == '.' {
			if r := n.running[id[:i]]; r != nil {
				return r
			}
		}
	}
	return nil
}

func (n *Node) allowance(service string) *allowance.Allowance {
	a := n.allowances[service]
	if a == nil {
		a = allowance.New(n.env.RetryRatio, n.env.RetrySlack, n.env.RetryWindow)
		n.allowances[service] = a
	}
	return a
}

// run offers a request to servers until it has an answer.
func (n *Node) run(c *call, gone <-chan struct{}) ingress.Reply {
	if reason := n.firstOffer(c, gone); reason != outcome.None {
		return n.finish(c, reason)
	}
	patience := n.patience(c)
	timer := time.NewTimer(c.next(patience))
	defer timer.Stop()
	for {
		select {
		case r := <-c.results:
			c.close(r.answer.ID)
			if reply, ok := n.settle(c, &r); ok {
				n.abandonAll(c, false)
				return reply
			}
		case <-gone:
			n.abandonAll(c, false)
			n.figures.abandoned.Inc(1)
			n.journal.Sample(time.Now(), event.RequestAbandoned, func() logrus.Fields { return c.fields() })
			return ingress.Reply{Broken: true}
		case <-timer.C:
			if patience == 0 {
				return n.expire(c)
			}
			patience = 0
			timer.Reset(c.next(0))
			n.hedge(c)
		}
	}
}

// firstOffer offers a request for the first time. If no server of its service is
// known, as in the first moments after a start, it waits for one: briefly for a
// new request, which can come back, and longer for a call of a run, whose work
// would be lost.
func (n *Node) firstOffer(c *call, gone <-chan struct{}) outcome.Reason {
	patience := min(c.route.Objective()/promptPart, time.Until(c.end))
	if c.offer.Inner {
		patience = min(callPatience, time.Until(c.end))
	}
	until := time.Now().Add(patience)
	reason := n.send(c)
	for reason == outcome.Unavailable && time.Now().Before(until) {
		timer := time.NewTimer(serverCheck)
		select {
		case <-gone:
			timer.Stop()
			return reason
		case <-timer.C:
		}
		reason = n.send(c)
	}
	if waited := time.Since(c.start); waited > serverCheck {
		n.mu.Lock()
		c.delay += waited
		c.refused = c.refused || c.offer.Inner && reason == outcome.Unavailable
		n.mu.Unlock()
	}
	return reason
}

// next returns the time until a request is looked at again: when its answer is
// overdue, or when its final answer is due.
func (c *call) next(patience time.Duration) time.Duration {
	left := time.Until(c.end)
	if patience > 0 {
		return min(patience, left)
	}
	return left
}

// patience returns how long the answer to a repeatable request is waited for
// before another server is asked, or 0 for as long as there is time.
func (n *Node) patience(c *call) time.Duration {
	if !c.route.Repeatable() || c.sends+1 >= c.route.Attempts() {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.latencies[c.key]
	if e == nil {
		return 0
	}
	wait, left := e.Overdue(), time.Until(c.end)
	if wait == 0 || left-wait < e.Mean() {
		return 0
	}
	return max(wait, minPatience)
}

// hedge offers a request whose answer is overdue to a second server, if the
// service has room and the budgets allow it to run again. The first offer
// stays, since its answer may still come.
func (n *Node) hedge(c *call) {
	now := time.Now()
	n.mu.Lock()
	w := n.windows[c.key]
	full := w != nil && w.Congested()
	allowed := !n.stopping && !full && c.offers == 1 && len(c.open) == 1 && n.choose(now, c.service, c.tried) != "" && n.spend(now, c, false)
	if allowed {
		if p := n.pending[c.open[0]]; p != nil {
			n.serverAt(p.node).slow(now, now.Sub(p.sentAt))
		}
		n.figures.retries.Inc(1)
	}
	n.mu.Unlock()
	if !allowed {
		return
	}
	n.journal.Sample(now, event.RequestRetried, func() logrus.Fields {
		f := c.fields()
		f["outcome"] = "overdue"
		return f
	})
	n.send(c)
}

// expire ends a request whose time is up.
func (n *Node) expire(c *call) ingress.Reply {
	n.abandonAll(c, true)
	n.figures.expired.Inc(1)
	n.journal.Sample(time.Now(), event.RequestExpired, func() logrus.Fields { return c.fields() })
	return ingress.Reply{Status: fasthttp.StatusGatewayTimeout, Head: n.dialect.AppendRequestID(nil, c.id)}
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
	node := n.choose(now, c.service, c.tried)
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
	s := n.serverAt(node)
	s.since++
	s.open++
	id := n.offers.Add(1)
	n.pending[id] = p
	c.open = append(c.open, id)
	return id, p, outcome.None
}

// close forgets an offer that has ended.
func (c *call) close(id uint64) {
	c.open = slices.DeleteFunc(c.open, func(o uint64) bool { return o == id })
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
	n.serverAt(p.node).open--
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
			n.serverAt(p.node).slow(now, now.Sub(p.sentAt))
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
	s := n.serverAt(p.node)
	s.load, s.limit, s.time, s.since, s.told = a.Load, a.Limit, a.Time, 0, now
	p.call.delay += a.Delay
	p.call.refused = p.call.refused || a.Refused
	p.call.turned = p.call.turned || a.Outcome == outcome.NotRun && !a.Sent && noPlace(a.Reason)
	if a.Outcome == outcome.Complete {
		n.learn(p.call.key, now.Sub(p.sentAt))
	}
	if a.HasSpread {
		n.spreads[p.call.key] = a.Spread
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
		e = &latency.Estimate{}
		n.latencies[key] = e
	}
	e.Add(d)
}

// maxRoutes bounds the tables whose keys come from routes.
const maxRoutes = 4096

// settle decides what follows from the result of an offer. It returns false if
// another offer of the request is open or has been made.
func (n *Node) settle(c *call, r *result) (ingress.Reply, bool) {
	a := &r.answer
	if a.Sent {
		c.sends++
	}
	c.doubtful = c.doubtful || a.Sent && a.Outcome == outcome.Unknown
	failed := a.Outcome == outcome.Complete && a.Status == fasthttp.StatusInternalServerError
	switch {
	case a.Outcome == outcome.Complete && !failed:
		n.figures.complete(time.Since(c.start))
		return ingress.Reply{Status: a.Status, Head: a.Head, Body: r.body}, true
	case len(c.open) > 0:
		return ingress.Reply{}, false
	case a.Reason == outcome.Suspect:
		return n.finish(c, a.Reason), true
	}
	reason := a.Reason
	if a.Outcome == outcome.NotRun && !a.Sent || n.again(c, a) {
		reason = n.send(c)
		if reason == outcome.None {
			return ingress.Reply{}, false
		}
	}
	if failed {
		return ingress.Reply{Status: a.Status, Head: a.Head, Body: r.body}, true
	}
	return n.finish(c, reason), true
}

// again decides whether a request that reached a server is sent to another one.
func (n *Node) again(c *call, a *frame.Answer) bool {
	if c.sends >= c.route.Attempts() || a.Outcome != outcome.NotRun && !c.route.Repeatable() {
		return false
	}
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.choose(now, c.service, c.tried) == "" || !n.spend(now, c, a.Outcome == outcome.NotRun) {
		return false
	}
	n.figures.retries.Inc(1)
	n.journal.Sample(now, event.RequestRetried, func() logrus.Fields {
		f := c.fields()
		f["outcome"], f["status"] = a.Outcome.String(), a.Status
		return f
	})
	return true
}

// spend takes a retry out of the budgets of the service and, unless the first
// attempt did not run, of the services that a run calls: it calls them again.
func (n *Node) spend(now time.Time, c *call, notRun bool) bool {
	costs := []frame.Share{{Service: c.service, Calls: 1}}
	if !notRun {
		spread, ok := n.spreads[c.key]
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
		n.allowance(s.Service).Take(now, float64(s.Calls))
	}
	return true
}

// finish ends a request without a server's answer.
func (n *Node) finish(c *call, reason outcome.Reason) ingress.Reply {
	c.refused = c.refused || c.turned
	if !c.doubtful {
		return n.refuse(c.id, c, c.leaves, reason, c.fields)
	}
	n.figures.doubtful.Inc(1)
	n.journal.Sample(time.Now(), event.RequestDoubtful, func() logrus.Fields {
		f := c.fields()
		f["reason"] = reason.String()
		return f
	})
	return ingress.Reply{Status: fasthttp.StatusBadGateway, Head: n.dialect.AppendRequestID(nil, c.id)}
}

// noPlace reports whether a node refused a request because its server had no
// place for it in time.
func noPlace(r outcome.Reason) bool {
	return r == outcome.Overload || r == outcome.Preempted || r == outcome.Expired
}

// refuse answers a request that has not run and never will.
func (n *Node) refuse(id string, c *call, leaves time.Time, reason outcome.Reason, fields func() logrus.Fields) ingress.Reply {
	n.figures.refused.Inc(1)
	now := time.Now()
	n.journal.Sample(now, event.RequestRefused, func() logrus.Fields {
		f := fields()
		f["request"], f["reason"] = id, reason.String()
		return f
	})
	wait := n.returnAfter(now, c, leaves, reason)
	head := n.dialect.AppendRequestID(nil, id)
	head = append(head, "Retry-After: "...)
	head = strconv.AppendFloat(head, wait.Seconds(), 'f', 3, 64)
	head = append(head, "\r\n"...)
	return ingress.Reply{Status: fasthttp.StatusServiceUnavailable, Head: head}
}

// returnAfter returns when the client of a refused request, which may have no
// route, is asked to come back.
func (n *Node) returnAfter(now time.Time, c *call, leaves time.Time, reason outcome.Reason) time.Duration {
	r := refusal.Refusal{Left: leaves.Sub(now), NoPlace: noPlace(reason)}
	if c != nil {
		r.Objective = c.route.Objective() - now.Sub(c.start)
		n.mu.Lock()
		if e := n.latencies[c.key]; e != nil {
			r.Latency = e.Mean()
		}
		n.mu.Unlock()
	}
	return r.ReturnAfter(rand.Float64())
}

// fields describes a request in a log line.
func (c *call) fields() logrus.Fields {
	f := logrus.Fields{
		"request": c.id, "route": c.route.Name(), "service": c.service, "version": c.version,
		"priority": c.offer.Priority, "inner": c.offer.Inner,
		"offers": c.offers, "sends": c.sends, "nodes": strings.Join(c.tried, ","),
		"age_ms": time.Since(c.start).Milliseconds(),
	}
	if w := c.full; w != nil {
		f["window"], f["open"], f["delay_ms"] = int(w.Size()), w.Open(), w.Delay().Milliseconds()
	}
	return f
}
