package overload

import (
	"time"

	"github.com/papayapath/papayapath/pkg/roster"
	"github.com/papayapath/papayapath/pkg/runner"
)

const (
	// expireInterval is how often queued requests are checked for their deadline.
	expireInterval = 20 * time.Millisecond
	// shedTime is how long a server takes to shed a request.
	shedTime = time.Millisecond
	// spread is the largest part by which the work of a run is off its mean.
	spread = 0.5
)

// kind says what became of an offer.
type kind uint8

const (
	answered kind = iota
	noPlace       // the node refused it
	shed          // the server did
	broken        // a call of the run failed
)

// answer ends an offer.
type answer struct {
	kind    kind
	delay   time.Duration
	refused bool
	report  roster.Report
}

// run is an offer at the node beside its server.
type run struct {
	call    *call
	ticket  runner.Request[*run]
	reply   func(answer)
	next    int // the call that it makes next
	delay   time.Duration
	refused bool
}

// accept decides about an offer for the own server.
func (n *node) accept(c *call, reply func(answer)) {
	r := &run{call: c, reply: reply}
	now := n.world.Now()
	r.ticket = runner.Request[*run]{Value: r, Priority: c.priority, Expires: c.end}
	verdict, evicted := n.runner.Offer(now, &r.ticket)
	if evicted != nil {
		n.answer(evicted.Value, noPlace)
	}
	switch verdict {
	case runner.Refused:
		n.answer(r, noPlace)
	case runner.Started:
		n.start(r)
	case runner.Queued:
		n.expireLater()
	}
}

// expireLater has the queue checked for deadlines while something waits.
func (n *node) expireLater() {
	if !n.expiring {
		n.expiring = true
		n.world.AfterFunc(expireInterval, n.expire)
	}
}

// answer replies to an offer.
func (n *node) answer(r *run, k kind) {
	now := n.world.Now()
	r.reply(answer{
		kind: k, delay: r.ticket.QueueTime(now) + r.delay, refused: r.refused,
		report: roster.Report{Load: n.runner.Running() + n.runner.Queued(), Limit: n.runner.Limit(), Time: n.runner.Time(now)},
	})
}

// start lets the own server begin a run: its own work first, then its calls.
func (n *node) start(r *run) {
	w := n.world
	w.statistics.runs++
	if n.shed > 0 && w.random.Float64() < n.shed {
		w.AfterFunc(shedTime, func() { n.end(r, shed) })
		return
	}
	work := r.call.class.Work / n.speed * (1 - spread + 2*spread*w.random.Float64())
	w.AfterFunc(milliseconds(work), func() { n.proceed(r) })
}

// proceed makes the next call of a run, or ends it.
func (n *node) proceed(r *run) {
	class := r.call.class
	if r.next == len(class.calls) {
		n.end(r, answered)
		return
	}
	c := &call{class: class.calls[r.next], at: n, priority: r.call.priority, end: r.call.end}
	r.next++
	c.done = func() {
		r.delay += c.delay
		r.refused = r.refused || c.refused || c.outcome == refused
		if c.outcome != served {
			n.world.statistics.wasted++
			n.end(r, broken)
			return
		}
		n.proceed(r)
	}
	n.send(c)
}

// end frees the place of a run and begins those that waited for it.
func (n *node) end(r *run, k kind) {
	now := n.world.Now()
	n.runner.Done(now, &r.ticket, k == answered)
	n.answer(r, k)
	for t := n.runner.Next(now); t != nil; t = n.runner.Next(now) {
		n.start(t.Value)
	}
}

// expire refuses queued requests that cannot be answered in time.
func (n *node) expire() {
	n.expiring = false
	for _, t := range n.runner.Expire(n.world.Now(), nil) {
		n.answer(t.Value, noPlace)
	}
	if n.runner.Queued() > 0 {
		n.expireLater()
	}
}
