package sidecar

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/proof"
	"github.com/papayapath/papayapath/pkg/roster"
	"github.com/papayapath/papayapath/pkg/servicetime"
	"github.com/papayapath/papayapath/pkg/workload"
)

const (
	// slowFrom is the slowdown from which the own server is logged as slow, and slowUntil
	// the one at which it no longer is.
	slowFrom  = 2
	slowUntil = 1.3
)

// placement is what a node learns of its backend server where the settings ask for the
// choice of servers by expected outcome. A nil placement learns nothing.
type placement struct {
	times    *servicetime.Estimator
	workload *workload.Tracker
	isSlow   bool
}

// newPlacement returns a placement, or nil if the settings do not ask for one.
func newPlacement(isWanted bool) *placement {
	if !isWanted {
		return nil
	}
	return &placement{times: servicetime.New(), workload: workload.New()}
}

// placedRun is the part of an execution that a placement uses.
type placedRun struct {
	kind    message.Route // route and caller
	work    workload.Run
	calls   callClock
	outlook frame.Outlook
}

// callClock measures the time during which a run waits for one or more of its calls.
type callClock struct {
	open  int
	since time.Time
	total time.Duration
}

func (c *callClock) begin(now time.Time) {
	if c.open == 0 {
		c.since = now
	}
	c.open++
}

func (c *callClock) end(now time.Time) {
	c.open--
	if c.open == 0 {
		c.total += now.Sub(c.since)
	}
}

// elapsed returns the time up to now, calls that are still open included.
func (c *callClock) elapsed(now time.Time) time.Duration {
	if c.open > 0 {
		return c.total + now.Sub(c.since)
	}
	return c.total
}

// start records the start of an execution.
func (p *placement) start(now time.Time, ex *execution) {
	if p == nil {
		return
	}
	p.workload.Start(now, p.kind(ex), &ex.placed.work)
}

// kind returns what distinguishes the requests of an offer from others: their route and
// the service whose instance made them. Its callers may make the same call for different
// work.
func (p *placement) kind(ex *execution) message.Route {
	if ex.placed.kind == 0 {
		ex.placed.kind = ex.offer.Route ^ message.Route(xxhash.Sum64String(ex.offer.Origin))
	}
	return ex.placed.kind
}

// end records the end of an execution. Only what the server completed tells how long it
// takes: an error may be quick.
func (p *placement) end(now time.Time, ex *execution, isComplete bool) {
	if p == nil {
		return
	}
	isComplete = isComplete && !ex.canceled
	p.workload.End(now, &ex.placed.work, isComplete)
	if isComplete {
		p.times.Add(now, p.kind(ex), now.Sub(ex.startedAt)-ex.placed.calls.elapsed(now))
	}
}

// setOutlook adds to an answer what the node expects of its server.
func (n *Node) setOutlook(now time.Time, ex *execution, a *frame.Answer) {
	p := n.placement
	if p == nil {
		return
	}
	o := &ex.placed.outlook
	o.Wait = p.workload.Wait(now, n.runner.Limit(), n.runner.Queued())
	o.ServiceTime, o.Slowdown = p.times.Usual(p.kind(ex)), float32(p.times.Slowdown())
	a.Outlook = o
	if p.isSlow && o.Slowdown < slowUntil || !p.isSlow && o.Slowdown >= slowFrom {
		p.isSlow = !p.isSlow
		n.journal.WriteSampled(now, event.ServerSpeedChanged, func() logrus.Fields {
			return logrus.Fields{"slow": p.isSlow, "slowdown": o.Slowdown, "running": n.runner.Running(), "queued": n.runner.Queued()}
		})
	}
}

// recordOutlook stores the outlook that came with an answer, if any.
func (n *Node) recordOutlook(now time.Time, p *pending, a *frame.Answer) {
	if n.placement == nil {
		return
	}
	var o roster.Outlook
	if a.Outlook != nil {
		o = roster.Outlook{Wait: a.Outlook.Wait, ServiceTime: a.Outlook.ServiceTime, Slowdown: float64(a.Outlook.Slowdown)}
	}
	var latency time.Duration
	if a.Outcome == outcome.Complete && !proof.New(a.Status).IsFailure() {
		latency = now.Sub(p.sentAt) - a.QueueDelay
	}
	n.roster.RecordOutlook(now, p.node, p.request.routeKey, o, latency)
}

// chooseServer returns the usable node that suits a request best, or "".
func (n *Node) chooseServer(now time.Time, req *request, usable func(node string) bool, budgetAllows func(retries float64) bool) string {
	if n.placement == nil {
		return n.roster.Choose(now, req.service, rand.Float64(), usable, budgetAllows)
	}
	return n.roster.ChooseFor(now, roster.Request{
		Service: req.service, Route: req.routeKey, Objective: untilObjective(now, req),
	}, rand.Float64(), usable, budgetAllows)
}

// untilObjective returns the time left until the latency objective of the client's
// request, 0 if it has none. It is negative when the objective has passed.
func untilObjective(now time.Time, req *request) time.Duration {
	if req.objective.IsZero() {
		return 0
	}
	if left := req.objective.Sub(now); left != 0 {
		return left
	}
	return -1
}

// countOffer counts an offer to a node.
func (n *Node) countOffer(node string) {
	if n.placement == nil {
		return
	}
	n.stats.offersSent.Inc(1)
	if !n.roster.IsNear(node) {
		n.stats.offersCrossing.Inc(1)
	}
}

// metrics reports what is known of the own server.
func (p *placement) metrics(now time.Time, queued int, line func(name string, v int64)) {
	if p == nil {
		return
	}
	line("server_work_ms", p.workload.Remaining(now, queued).Milliseconds())
	line("server_slowdown_percent", int64(100*p.times.Slowdown()))
}
