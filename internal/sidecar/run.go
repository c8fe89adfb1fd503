package sidecar

import (
	"errors"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/peer"
	"github.com/papayapath/papayapath/internal/upstream"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/quarantine"
	"github.com/papayapath/papayapath/pkg/readiness"
	"github.com/papayapath/papayapath/pkg/runner"
)

// expireInterval is how often queued requests are checked for their deadline.
const expireInterval = 20 * time.Millisecond

// run is an offer that this node has accepted for the own server.
type run struct {
	key      runKey
	offer    frame.Offer
	body     []byte
	ticket   runner.Request[*run]
	exchange *upstream.Exchange
	canceled bool
	delay    time.Duration // that the calls of the run waited for places
	refused  bool          // a call of the run found no place
}

// runKey identifies an offer: its id is unique on the link on which it came.
// The link is nil for offers of the own node.
type runKey struct {
	link *peer.Link
	id   uint64
}

// reply is an answer to an offer that is sent once the lock is released.
type reply struct {
	run    *run
	answer frame.Answer
	body   []byte
}

// accept decides about an offer for the own server.
func (n *Node) accept(now time.Time, from *peer.Link, o *frame.Offer, body []byte) {
	r := &run{key: runKey{link: from, id: o.ID}, offer: *o, body: body}
	r.ticket = runner.Request[*run]{
		Value: r, Priority: o.Priority, Expires: now.Add(o.Wait),
	}
	n.mu.Lock()
	if reason := n.gate(now, o); reason != outcome.None {
		rep := n.notRun(now, r, reason)
		n.mu.Unlock()
		n.reply(rep)
		return
	}
	verdict, evicted := n.runner.Offer(now, &r.ticket)
	var replies []reply
	if evicted != nil {
		replies = append(replies, n.notRun(now, evicted.Value, outcome.Preempted))
	}
	switch verdict {
	case runner.Refused:
		replies = append(replies, n.notRun(now, r, outcome.Overload))
	case runner.Queued:
		n.runs[r.key] = r
		n.expireLater()
	case runner.Started:
		n.runs[r.key] = r
		n.begin(r)
	}
	n.mu.Unlock()
	n.reply(replies...)
	if verdict == runner.Started {
		n.start(now, r)
	}
}

// gate says why the own server takes no requests, or None.
func (n *Node) gate(now time.Time, o *frame.Offer) outcome.Reason {
	switch {
	case o.Service != n.env.Service:
		return outcome.Unavailable
	case n.readiness.State() == readiness.Draining:
		return outcome.Draining
	case n.readiness.State() != readiness.Ready:
		return outcome.Unavailable
	case n.quarantine.Check(now, suspect(o)) == quarantine.Refuse:
		return outcome.Suspect
	}
	return outcome.None
}

// begin records that a run starts.
func (n *Node) begin(r *run) {
	n.graph.Run(r.offer.Route)
	n.running[r.offer.Request] = r
}

// start sends a request to the own server.
func (n *Node) start(now time.Time, r *run) {
	wait := r.ticket.Expires.Sub(now)
	n.mu.Lock()
	instance := n.readiness.Last().ID
	n.mu.Unlock()
	data := make([]byte, 0, len(r.offer.Head)+len(r.body)+headRoom)
	data = append(data, r.offer.Head...)
	data = n.dialect.AppendAttemptFields(data, wait, instance, len(r.body), r.offer.HasBody)
	data = append(data, r.body...)
	e := n.pool.Start(now, &upstream.Request{
		ID: r.offer.Request, Raw: data, Timeout: wait, HeadOnly: r.offer.HeadOnly,
	}, func(a *upstream.Answer) { n.done(r, a) })
	n.mu.Lock()
	r.exchange = e
	canceled := r.canceled
	n.mu.Unlock()
	if canceled {
		e.Cancel()
	}
}

// headRoom is the space for the header fields that each server gets anew.
const headRoom = 128

// done ends a run and starts those that waited for its place.
func (n *Node) done(r *run, a *upstream.Answer) {
	now := time.Now()
	n.mu.Lock()
	n.runner.Done(now, &r.ticket, a.Err == nil && !a.NotRun)
	if n.running[r.offer.Request] == r {
		delete(n.running, r.offer.Request)
	}
	rep := reply{run: r, answer: n.answer(now, r, a)}
	if rep.answer.Outcome == outcome.Complete {
		rep.body = a.Body
	}
	n.figures.run(now.Sub(r.ticket.Expires.Add(-r.offer.Wait)))
	replies := []reply{rep}
	delete(n.runs, r.key)
	n.judge(now, r, a)
	if isRefused(a.Err) {
		n.crashed(now)
		n.readiness.ConnectionRefused(now)
		replies = n.presenceChanged(now, replies)
	}
	next := n.takeNext(now)
	n.mu.Unlock()
	n.reply(replies...)
	for _, t := range next {
		n.start(now, t)
	}
}

// takeNext takes the waiting runs for which there is room.
func (n *Node) takeNext(now time.Time) []*run {
	var next []*run
	for {
		t := n.runner.Next(now)
		if t == nil {
			return next
		}
		n.begin(t.Value)
		next = append(next, t.Value)
	}
}

// isRefused reports whether the server's port has no listener.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// answer turns a server's answer into the answer to an offer.
func (n *Node) answer(now time.Time, r *run, a *upstream.Answer) frame.Answer {
	out := frame.Answer{ID: r.key.id, Sent: a.Sent, Status: a.Status}
	switch {
	case a.NotRun && a.Sent:
		out.Outcome, out.Reason = outcome.NotRun, outcome.Overload
	case a.NotRun:
		out.Outcome, out.Reason = outcome.NotRun, outcome.Unavailable
	case a.Err != nil:
		out.Outcome, out.Reason = outcome.Unknown, outcome.Broken
	default:
		out.Outcome, out.Head = outcome.Complete, a.Head
	}
	if out.Outcome != outcome.Complete && !r.canceled {
		n.journal.WriteSampled(now, event.BackendRequestFailed, func() logrus.Fields {
			f := logrus.Fields{
				"request": r.offer.Request, "outcome": out.Outcome.String(), "status": a.Status, "sent": a.Sent,
				"running": n.runner.Running(), "queued": n.runner.Queued(),
			}
			if a.Err != nil {
				f["detail"] = a.Err.Error()
			}
			return f
		})
	}
	n.state(now, r, &out)
	if out.Outcome == outcome.Complete && r.key.id%spreadEvery == 0 {
		out.HasFanout, out.Fanout = true, n.spread(r.offer.Route)
	}
	return out
}

// spreadEvery is the number of offers for each answer that tells which calls a
// run causes. The calls of a route seldom change.
const spreadEvery = 16

// spread returns the calls that a run of a route causes, here and further down.
func (n *Node) spread(route message.Route) []frame.ServiceCalls {
	var all []frame.ServiceCalls
	add := func(service string, calls float32) {
		for i := range all {
			if all[i].Service == service {
				all[i].Calls += calls
				return
			}
		}
		all = append(all, frame.ServiceCalls{Service: service, Calls: calls})
	}
	n.graph.Calls(route, func(child message.Route, mean float64) {
		add(n.services[child], float32(mean))
		for _, s := range n.spreads[child] {
			add(s.Service, float32(mean)*s.Calls)
		}
	})
	return all
}

// state adds how busy the own server is, and how long the request waited for a
// place, here and further down.
func (n *Node) state(now time.Time, r *run, a *frame.Answer) {
	a.Load = n.runner.Running() + n.runner.Queued()
	a.Limit, a.Time = n.runner.Limit(), n.runner.Time(now)
	a.QueueDelay, a.CallRefused = r.ticket.QueueTime(now)+r.delay, r.refused
}

// notRun returns the answer to an offer that is refused.
func (n *Node) notRun(now time.Time, r *run, reason outcome.Reason) reply {
	n.figures.offersRefused.Inc(1)
	a := frame.Answer{ID: r.key.id, Outcome: outcome.NotRun, Reason: reason}
	n.state(now, r, &a)
	n.journal.WriteSampled(now, event.OfferRefused, func() logrus.Fields {
		return logrus.Fields{
			"request": r.offer.Request, "reason": reason.String(), "priority": r.offer.Priority,
			"waited_ms": a.QueueDelay.Milliseconds(), "running": n.runner.Running(), "queued": n.runner.Queued(),
			"limit": a.Limit, "server": n.readiness.State().String(), "inner": r.offer.Nested,
		}
	})
	return reply{run: r, answer: a}
}

// reply sends answers to where the offers came from.
func (n *Node) reply(replies ...reply) {
	for i := range replies {
		r := &replies[i]
		if r.run.key.link == nil {
			n.deliver(time.Now(), nil, &r.answer, r.body)
			continue
		}
		// If the link has ended, the sender knows that its offers have.
		peer.Send(r.run.key.link, frame.KindAnswer, &r.answer, r.body)
	}
}

// cancel ends an offer whose sender no longer waits.
func (n *Node) cancel(key runKey) {
	n.mu.Lock()
	r := n.runs[key]
	if r == nil {
		n.mu.Unlock()
		return
	}
	delete(n.runs, key)
	r.canceled = true
	n.runner.Cancel(&r.ticket)
	e := r.exchange
	n.mu.Unlock()
	if e != nil {
		e.Cancel()
	}
}

// cancelAll ends the offers of a link that has ended.
func (n *Node) cancelAll(l *peer.Link) {
	n.mu.Lock()
	var keys []runKey
	for k := range n.runs {
		if k.link == l {
			keys = append(keys, k)
		}
	}
	n.mu.Unlock()
	for _, k := range keys {
		n.cancel(k)
	}
}

// expireLater has the queue checked for deadlines while something waits.
func (n *Node) expireLater() {
	if !n.expiring {
		n.expiring = true
		time.AfterFunc(expireInterval, n.expireQueued)
	}
}

// expireQueued refuses the queued requests that cannot be answered in time.
func (n *Node) expireQueued() {
	now := time.Now()
	n.mu.Lock()
	n.expiring = false
	var replies []reply
	for _, t := range n.runner.Expire(now, nil) {
		delete(n.runs, t.Value.key)
		replies = append(replies, n.notRun(now, t.Value, outcome.Expired))
	}
	if n.runner.Queued() > 0 {
		n.expireLater()
	}
	n.mu.Unlock()
	n.reply(replies...)
}
