package overload

import (
	"time"

	"github.com/papayapath/papayapath/pkg/roster"
	"github.com/papayapath/papayapath/pkg/runner"
	"github.com/papayapath/papayapath/pkg/workload"
)

const (
	// expiryInterval is the interval at which queued requests are checked for
	// expired deadlines.
	expiryInterval = 20 * time.Millisecond
	// shedDelay is the time that a server takes to shed a request.
	shedDelay = time.Millisecond
	// serviceTimeSpread is the maximum relative deviation of a service time from its mean.
	serviceTimeSpread = 0.5
)

// kind is the result of an offer.
type kind uint8

const (
	answered   kind = iota
	rejected        // rejected by the node
	shed            // shed by the backend server
	callFailed      // a nested call of the run failed
	unfunded        // rejected by the node because the retry budget is used up
)

// answer is the reply to an offer.
type answer struct {
	kind    kind
	delay   time.Duration
	refused bool
	report  roster.Report
	rates   []rate // of services that shed
	outlook roster.Outlook
}

// run is an offer at the node of the backend server that executes it.
type run struct {
	call      *call
	started   time.Time
	ticket    runner.Request[*run]
	isRepeat  bool // the call has reached a server before, or is one of a run that is a repeat
	work      workload.Run
	callTime  time.Duration
	reply     func(answer)
	nextIndex int // index of the next nested call
	delay     time.Duration
	refused   bool
	charged   map[string]float64 // calls charged to the retry budgets, by service
	chargedAt time.Time
}

// handleOffer starts, queues or rejects an offer for the node's backend server.
func (n *node) handleOffer(c *call, reply func(answer)) {
	r := &run{call: c, reply: reply, isRepeat: c.isResent || c.isOfRepeat}
	now := n.simulation.Now()
	if n.pool != nil && !n.pool.accept(now, r) {
		n.answer(r, unfunded)
		return
	}
	r.ticket = runner.Request[*run]{Value: r, Priority: c.priority, Expires: c.end, Useful: c.useful, Usual: n.outlooks.workload.Usual(c.class.route())}
	decision, evicted := n.runner.Offer(now, &r.ticket)
	if evicted != nil {
		n.answer(evicted.Value, rejected)
	}
	switch decision {
	case runner.Refused:
		n.answer(r, rejected)
	case runner.Started:
		n.start(r)
	case runner.Queued:
		n.scheduleExpiry()
	}
}

// scheduleExpiry schedules a check for expired requests, unless one is pending.
func (n *node) scheduleExpiry() {
	if !n.expiryScheduled {
		n.expiryScheduled = true
		n.simulation.AfterFunc(expiryInterval, n.expireQueued)
	}
}

// answer replies to an offer with the current load report of the server.
func (n *node) answer(r *run, k kind) {
	now := n.simulation.Now()
	r.reply(answer{
		rates: n.pool.rates(),
		kind:  k, delay: r.ticket.QueueTime(now) + r.delay, refused: r.refused,
		report:  roster.Report{Load: n.runner.Load(now), Limit: n.runner.Capacity(), Time: n.runner.Time(now), Share: n.share()},
		outlook: n.outlook(r.call.class),
	})
}

// share returns the even share of a node in the limit of the server, or 0.
func (n *node) share() float64 {
	rate, ok := n.intake.Rate()
	if !ok {
		return 0
	}
	return rate / float64(len(n.simulation.nodes))
}

// start begins a run on the backend server: first its own service time, then its
// nested calls.
func (n *node) start(r *run) {
	sim := n.simulation
	r.started = sim.Now()
	sim.statistics.runs++
	sim.recordArrival(r)
	n.outlooks.workload.Start(r.started, r.call.class.route(), &r.work)
	if n.named.Limited {
		sim.statistics.limited[n.name] = append(sim.statistics.limited[n.name], r.started)
	}
	isShed := n.shedsNow() && sim.random.Float64() < n.shed
	if n.pool != nil {
		n.pool.meter.Record(isShed)
	}
	if isShed {
		if n.pool != nil {
			n.pool.returnCalls(r.started, r)
		}
		sim.AfterFunc(shedDelay, func() { n.end(r, shed) })
		return
	}
	size := r.call.size
	if size == 0 {
		size = sim.size(r.call.class)
	}
	serviceTime := size / n.speedNow()
	sim.AfterFunc(milliseconds(serviceTime), func() { n.nextCall(r) })
}

// shedsNow reports whether the server sheds a part of its requests now.
func (n *node) shedsNow() bool {
	p := &n.simulation.pattern
	elapsed := n.simulation.Now().Sub(startTime)
	return n.shed > 0 && (p.ShedTime == 0 || elapsed >= p.ShedStart && elapsed < p.ShedStart+p.ShedTime)
}

// nextCall makes the next nested call of a run, or ends the run.
func (n *node) nextCall(r *run) {
	class := r.call.class
	if r.nextIndex == len(class.calls) {
		n.end(r, answered)
		return
	}
	c := n.simulation.newCall(class.calls[r.nextIndex], n)
	c.priority, c.end, c.useful = r.call.priority, r.call.end, r.call.useful
	c.isOfRepeat = r.isRepeat
	r.nextIndex++
	c.done = func() {
		r.callTime += n.simulation.Now().Sub(c.started)
		r.delay += c.delay
		r.refused = r.refused || c.refused || c.outcome == refused
		if c.outcome != served {
			n.simulation.statistics.wasted++
			n.end(r, callFailed)
			return
		}
		n.nextCall(r)
	}
	n.send(c)
}

// end releases the slot of a run and starts queued runs.
func (n *node) end(r *run, k kind) {
	now := n.simulation.Now()
	n.runner.Done(now, &r.ticket, k == answered)
	n.outlooks.workload.End(now, &r.work, k == answered)
	if k == answered {
		n.outlooks.times.Add(now, r.call.class.route(), now.Sub(r.started)-r.callTime)
	}
	n.intake.Observe(now, r.started, n.named)
	n.answer(r, k)
	n.startQueued()
}

// startQueued starts the queued runs that the server takes now.
func (n *node) startQueued() {
	now := n.simulation.Now()
	for t := n.runner.Next(now); t != nil; t = n.runner.Next(now) {
		n.start(t.Value)
	}
}

// expireQueued rejects queued requests that can no longer meet their deadline, and
// starts those that the server takes now.
func (n *node) expireQueued() {
	n.expiryScheduled = false
	for _, t := range n.runner.Expire(n.simulation.Now(), nil) {
		n.answer(t.Value, rejected)
	}
	n.startQueued()
	if n.runner.Queued() > 0 {
		n.scheduleExpiry()
	}
}
