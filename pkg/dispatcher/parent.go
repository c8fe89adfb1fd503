package dispatcher

import (
	"time"

	"github.com/papayapath/papayapath/pkg/budget"
	"github.com/papayapath/papayapath/pkg/message"
)

// parent is a run of the own backend server that makes child calls.
type parent struct {
	call     message.CallID
	attempt  int
	budget   budget.Budget
	deadline time.Time
	issued   time.Time // of the parent's key; zero if unknown
	oldest   *call     // open children
	youngest *call
	counts   map[uint64]int // child calls by content
	repeats  bool           // the run repeats one that may have run
	passed   bool           // the free child call of a repeated run is in use
	ended    bool
}

// ParentStart tells that the own backend server starts a run. Without it, the
// run is noticed at its first child call: its deadline is then reckoned from
// there, and a run without children returns none of its allotment.
func (d *Dispatcher) ParentStart(now time.Time, o *message.Offer) { d.parentOf(now, o) }

// ParentDone ends a run of the own backend server. It returns the part of its
// allotment that is neither spent nor out with child calls.
func (d *Dispatcher) ParentDone(id message.CallID) (unused int) {
	p, ok := d.parents[id]
	if !ok {
		return 0
	}
	unused = p.budget.Remaining()
	p.budget = budget.Budget{}
	p.ended = true
	d.release(p)
	return unused
}

// Parents returns the number of runs that have not ended or have open children.
func (d *Dispatcher) Parents() int { return len(d.parents) }

// parentOf returns the record of the run that makes a child call. A newer
// attempt starts again with its own allotment; one that has ended, or an older
// attempt, has no budget, since its allotment may be spent already.
func (d *Dispatcher) parentOf(now time.Time, o *message.Offer) *parent {
	p, ok := d.parents[o.Call]
	if !ok {
		p = &parent{call: o.Call}
		p.attempt, _ = d.done.Peek(o.Call)
		p.ended = p.attempt > 0
		p.renew(now, o)
		d.parents[o.Call] = p
		return p
	}
	p.renew(now, o)
	return p
}

// renew starts a newer attempt of the run.
func (p *parent) renew(now time.Time, o *message.Offer) {
	if o.Attempt > p.attempt {
		p.attempt = o.Attempt
		p.budget = *budget.New(o.RetryBudget)
		p.counts = nil
		p.repeats = o.Repeats()
		p.passed = false
		p.ended = false
	} else if !p.deadline.IsZero() {
		return
	}
	p.deadline = now.Add(o.Remaining)
	p.issued = time.Time{}
	if o.KeyAge >= 0 {
		p.issued = now.Add(-o.KeyAge)
	}
}

// covers reports whether the budget is that of the given attempt.
func (p *parent) covers(attempt int) bool { return !p.ended && p.attempt == attempt }

// identical counts the calls with the same content before this one.
func (p *parent) identical(content uint64) int {
	if p.counts == nil {
		p.counts = map[uint64]int{}
	}
	n := p.counts[content]
	p.counts[content] = n + 1
	return n
}

func (p *parent) adopt(c *call) {
	c.parent = p
	c.run = p.attempt
	c.previous = p.youngest
	if p.youngest == nil {
		p.oldest = c
	} else {
		p.youngest.next = c
	}
	p.youngest = c
}

func (p *parent) dismiss(c *call) {
	if c.previous == nil {
		p.oldest = c.next
	} else {
		c.previous.next = c.next
	}
	if c.next == nil {
		p.youngest = c.previous
	} else {
		c.next.previous = c.previous
	}
	c.parent, c.previous, c.next = nil, nil, nil
}

// release drops the record of a run that has ended and has no open children.
func (d *Dispatcher) release(p *parent) {
	if !p.ended || p.oldest != nil {
		return
	}
	delete(d.parents, p.call)
	d.done.Add(p.call, p.attempt)
}
