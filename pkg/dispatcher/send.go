package dispatcher

import (
	"time"

	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/balancer"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

const (
	// patience is how many usual answer times an attempt may take at a server
	// that answers nothing else before it is sent elsewhere. A server that is
	// four times slower than usual stays well below it.
	patience = 16
	// leastPatience keeps short pauses of a process from causing retries.
	leastPatience = 50 * time.Millisecond
)

// target is the server that was chosen for an attempt.
type target struct {
	id     instance.ID
	server *balancer.Server // nil if the balancer does not know it
	epoch  uint64
}

// send places the first attempt of a call.
func (d *Dispatcher) send(now time.Time, c *call) outcome.Reason {
	if !c.route.admits(now, c.first.Priority) {
		return outcome.Overload
	}
	t, reason := d.choose(now, c)
	if reason != outcome.None {
		return reason
	}
	if !c.charge() {
		return outcome.Rate
	}
	c.offer = &c.first
	d.start(now, c, t, 1)
	return outcome.None
}

// again places a further attempt in a new offer.
func (d *Dispatcher) again(now time.Time, c *call, t target) {
	attempt := c.offer.Attempt + 1
	next := *c.offer
	c.offer = &next
	d.start(now, c, t, attempt)
}

func (d *Dispatcher) start(now time.Time, c *call, t target, attempt int) {
	c.to, c.server, c.sent = t.id, t.server, now
	c.allotment = c.budget.Allocate()
	c.offer.Attempt = attempt
	c.offer.RetryBudget = c.allotment
	c.offer.Epoch = t.epoch
	c.offer.Crashes = c.crashes
	c.offer.KeyAge = c.age(now)
	c.offer.Remaining = c.deadline.Sub(now) - transit
	if c.unknown || c.passed || c.paid {
		c.offer.MarkRepeat()
	}
	if c.server != nil {
		c.service.Start(now, c.server, c.offer.Priority)
	}
	d.stats.add(Offered)
	d.schedule(c, earlier(c.deadline, now.Add(c.patience())))
}

func (d *Dispatcher) offer(c *call, out []action.Action) []action.Action {
	return append(out, action.Action{Kind: action.Offer, To: c.to, Offer: c.offer})
}

func (d *Dispatcher) cancel(c *call, out []action.Action) []action.Action {
	withdrawn := message.Cancel{Call: c.first.Call, Attempt: c.offer.Attempt}
	return append(out, action.Action{Kind: action.Cancel, To: c.to, Cancel: withdrawn})
}

// patience returns how long the current attempt may wait at a silent server.
func (c *call) patience() time.Duration {
	left := c.offer.Remaining
	if !c.first.Repeatable || c.server == nil {
		return left + transit
	}
	usual := c.route.answer.Mean()
	if usual == 0 {
		return max(left/2, leastPatience)
	}
	return max(patience*max(usual, c.service.Usual(c.server)), leastPatience)
}

// choose finds the server for the next attempt, or the reason why there is
// none.
func (d *Dispatcher) choose(now time.Time, c *call) (target, outcome.Reason) {
	left := c.deadline.Sub(now)
	if left <= transit {
		return target{}, outcome.Expired
	}
	if c.service == nil {
		c.service = d.services[c.first.Service]
	}
	if c.late(now, left) {
		return target{}, outcome.Expired
	}
	if !c.first.Repeatable {
		return d.owner(now, c)
	}
	if c.service == nil {
		return target{}, outcome.Unavailable
	}
	s, verdict := c.service.Choose(now, c.first.Priority, c.excluded())
	if verdict != balancer.Chosen {
		return target{}, refusals[verdict]
	}
	return target{id: s.ID(), server: s}, outcome.None
}

// late reports whether no answer can be expected in the time that is left. The
// route must have answers of its own, since others may take longer. They may be
// few, so a quicker answer of the service speaks for the call too.
func (c *call) late(now time.Time, left time.Duration) bool {
	return c.service != nil && c.service.Fastest(now) > left && c.route.fastest.Least(now) > left
}

// owner finds the only server that may run a call that is not repeatable. One
// that no membership message has named yet is asked all the same.
func (d *Dispatcher) owner(now time.Time, c *call) (target, outcome.Reason) {
	if d.owners == nil {
		return target{}, outcome.Unavailable
	}
	id, epoch, ok := d.owners.Owner(c.first.Service, c.first.Key)
	if !ok {
		return target{}, outcome.Unavailable
	}
	t := target{id: id, epoch: epoch}
	if c.service == nil {
		return t, outcome.None
	}
	if _, known := c.service.Server(id); !known {
		return t, outcome.None
	}
	var verdict balancer.Verdict
	t.server, verdict = c.service.Admit(now, id, c.first.Priority)
	return t, refusals[verdict]
}

// refusals gives the reason for each verdict of a balancer.
var refusals = [...]outcome.Reason{
	balancer.Chosen:  outcome.None,
	balancer.Refused: outcome.Overload,
	balancer.Leaving: outcome.Draining,
	balancer.Absent:  outcome.Unavailable,
}
