package sidecar

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/ingress"
	"github.com/papayapath/papayapath/pkg/allowance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/quarantine"
	"github.com/papayapath/papayapath/pkg/routing"
	"github.com/papayapath/papayapath/pkg/window"
)

const (
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

// Handle answers a request of a client.
func (n *Node) Handle(r *ingress.Request) ingress.Response {
	n.figures.requests.Inc(1)
	id, wait := n.dialect.Request(r.Header)
	if wait == 0 {
		wait = defaultWait
	}
	table := n.awaitTable()
	if table == nil {
		return n.refuse(&call{id: id, start: r.ReceivedAt, leaves: r.ReceivedAt.Add(wait)}, outcome.Unavailable)
	}
	route := lookup(table, r.Header)
	if route == nil {
		n.figures.unrouted.Inc(1)
		return ingress.Response{Status: fasthttp.StatusNotFound, Head: n.dialect.AppendRequestID(nil, id)}
	}
	c := n.newCall(id, wait, route, r)
	c.version = table.Version()
	if reason := n.admit(c); reason != outcome.None {
		return n.refuse(c, reason)
	}
	reply := n.run(c, r.Disconnected)
	n.ended(c)
	return reply
}

// ended passes the delay of a request on: to the run that made it, or to the
// window of its route, unless it ended before its delay was known.
func (n *Node) ended(c *call) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case c.parent != nil:
		c.parent.delay += c.delay
		c.parent.refused = c.parent.refused || c.refused
	case c.window == nil:
	case c.untold:
		c.window.Release()
	default:
		c.window.End(now, window.Sample{Start: c.start, QueueDelay: c.delay, Refused: c.refused})
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

// admit decides whether a request is begun. Calls of the own server's runs
// belong to requests that were admitted before, and are begun unless the process
// is about to end. They have the
// priority of these, whatever that of their own route: a call for a less
// important request must not take the place of a more important request.
func (n *Node) admit(c *call) outcome.Reason {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	c.service = c.route.ChooseService()
	c.key = message.RouteOf(c.service, "", c.route.Name())
	c.offer.Service, c.offer.Route = c.service, c.key
	if n.quarantine.Check(now, quarantine.Request{Customer: n.env.Service, Content: c.offer.Content}) == quarantine.Refuse {
		return outcome.Suspect
	}
	if n.stopping && now.After(n.lastCall) {
		return outcome.Draining
	}
	if parent := n.parent(c.id); parent != nil {
		c.offer.Nested = true
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
	switch {
	case w.Admit(now):
		c.window = w
	case n.traced:
		c.full = w
		return outcome.Overload
	}
	// Where no call was ever traced to its run, this may be a call of a request
	// that was admitted elsewhere, and refusing it would waste the work on it.
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
		a = allowance.New(n.env.RetryBudgetRatio, n.env.RetryBudgetSlack, n.env.RetryBudgetWindow)
		n.allowances[service] = a
	}
	return a
}

// maxRoutes bounds the tables whose keys come from routes.
const maxRoutes = 4096

// run offers a request to servers until it has an answer.
func (n *Node) run(c *call, gone <-chan struct{}) ingress.Response {
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
			c.untold = true
			n.figures.abandoned.Inc(1)
			n.journal.WriteSampled(time.Now(), event.ClientDisconnected, func() logrus.Fields { return c.fields() })
			return ingress.Response{Abort: true}
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
	if c.offer.Nested {
		patience = min(callPatience, time.Until(c.end))
	}
	reason := n.send(c)
	if reason != outcome.Unavailable {
		return reason
	}
	start := time.Now()
	ticker := time.NewTicker(serverCheck)
	defer ticker.Stop()
	for reason == outcome.Unavailable && time.Since(start) < patience {
		select {
		case <-gone:
			return reason
		case <-ticker.C:
			reason = n.send(c)
		}
	}
	n.mu.Lock()
	c.delay += time.Since(start)
	c.refused = c.refused || c.offer.Nested && reason == outcome.Unavailable
	n.mu.Unlock()
	return reason
}

// patience returns how long the answer to a repeatable request is waited for
// before another server is asked, or 0 for as long as there is time.
func (n *Node) patience(c *call) time.Duration {
	if !c.route.Repeatable() || c.sends+1 >= c.route.MaxAttempts() {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.latencies[c.key]
	if e == nil {
		return 0
	}
	wait, left := e.OverdueAfter(), time.Until(c.end)
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
	allowed := !n.stopping && c.offers == 1 && len(c.open) == 1 && n.roster.HasCapacity(n.choose(now, c)) && n.spend(now, c, false)
	if allowed {
		if p := n.pending[c.open[0]]; p != nil {
			n.roster.RecordOverdue(now, p.node, now.Sub(p.sentAt))
		}
		n.figures.retries.Inc(1)
	}
	n.mu.Unlock()
	if !allowed {
		return
	}
	n.journal.WriteSampled(now, event.RequestRetried, func() logrus.Fields {
		f := c.fields()
		f["outcome"] = "overdue"
		return f
	})
	n.send(c)
}

// expire ends a request whose time is up.
func (n *Node) expire(c *call) ingress.Response {
	n.abandonAll(c, true)
	c.untold = true
	n.figures.expired.Inc(1)
	n.journal.WriteSampled(time.Now(), event.RequestTimedOut, func() logrus.Fields { return c.fields() })
	return ingress.Response{Status: fasthttp.StatusGatewayTimeout, Head: n.dialect.AppendRequestID(nil, c.id)}
}
