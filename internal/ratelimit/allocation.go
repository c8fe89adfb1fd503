package ratelimit

import (
	"context"
	"errors"
	"time"

	"github.com/papayapath/papayapath/pkg/term"
)

const (
	// maxIdle bounds the time between two looks at the terms. The rank of a node changes
	// with the links to others.
	maxIdle = time.Second
	// minIdle bounds it from below.
	minIdle = 20 * time.Millisecond
)

// HandleRequest grants tokens to another node. A validity of 0 tells it that this node
// does not allocate the part, or does not know the customer.
func (l *Limiter) HandleRequest(part int, customer string, wanted int) (granted int, validity, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	granted, validity, wait = l.grant(l.clock(), part, customer, wanted)
	l.stats.Requested += int64(max(0, wanted))
	l.stats.Granted += int64(granted)
	return granted, validity, wait
}

// grant grants tokens of a part that this node allocates.
func (l *Limiter) grant(now time.Time, part int, customer string, wanted int) (granted int, validity, wait time.Duration) {
	if part < 0 || part >= term.Parts {
		return 0, 0, 0
	}
	l.updateHolding(now, part)
	if !l.holding[part] {
		return 0, 0, 0
	}
	return l.allocator.Grant(now, part, customer, wanted)
}

// updateHoldings tells the allocator which parts this node holds.
func (l *Limiter) updateHoldings(now time.Time) {
	for i := range l.terms {
		l.updateHolding(now, i)
	}
}

func (l *Limiter) updateHolding(now time.Time, part int) {
	t := l.terms[part]
	holds := t.Holds(now)
	switch {
	case holds && (!l.holding[part] || l.periods[part] != t.Period()):
		l.allocator.Start(now, part)
		l.periods[part] = t.Period()
	case !holds && l.holding[part]:
		l.allocator.Stop(part)
	}
	if l.holding[part] != holds {
		l.holding[part] = holds
		l.observer.TermChanged(part, holds)
	}
	if holder, ok := t.Holder(); ok && holder != l.holders[part] {
		l.holders[part] = holder
		if holder != l.self {
			l.observer.AllocatorChanged(part, holder)
		}
	}
}

// HandleTerm processes the announcement of a term.
func (l *Limiter) HandleTerm(part int, r term.Record, end int64) {
	if part < 0 || part >= term.Parts || end <= 0 {
		return
	}
	isNear := l.network.IsNear(r.Holder)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	l.terms[part].Observe(now, r, end, r.Generation)
	l.setNear(part, r.Holder, isNear)
	l.updateHolding(now, part)
	l.signal()
}

// setNear records whether the holder of a part is in the own failure domain.
func (l *Limiter) setNear(part int, node string, isNear bool) {
	if holder, ok := l.terms[part].Holder(); ok && holder == node {
		l.near[part] = isNear
	}
}

// Announcement is the record of a term of this node, and the end of its partition.
type Announcement struct {
	Part   int
	Record term.Record
	End    int64
}

// Announcements returns what a node with a new link has to know.
func (l *Limiter) Announcements() []Announcement {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Announcement
	for i, t := range l.terms {
		if r, end, ok := t.Announcement(); ok {
			all = append(all, Announcement{Part: i, Record: r, End: end})
		}
	}
	return all
}

// Run claims and renews terms until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-l.wake:
		}
		timer.Reset(min(max(l.advance(), minIdle), maxIdle))
	}
}

// advance makes the calls to the log that are due, and returns the time until the next
// ones may be.
func (l *Limiter) advance() time.Duration {
	idle := maxIdle
	for i := range l.terms {
		idle = min(idle, l.advancePart(i))
	}
	return idle
}

// advancePart makes the call for a part that is due, if one is.
func (l *Limiter) advancePart(part int) time.Duration {
	rank := l.network.Rank(part)
	l.mu.Lock()
	t := l.terms[part]
	holder, _ := t.Holder()
	l.mu.Unlock()
	incarnation := l.network.Incarnation(holder)
	l.mu.Lock()
	if t != l.terms[part] {
		l.mu.Unlock()
		return 0
	}
	now := l.clock()
	if l.stopping {
		rank = -1
	}
	a := t.Next(now, rank, incarnation)
	l.updateHolding(now, part)
	if a.Kind == term.Wait {
		l.mu.Unlock()
		return a.Until.Sub(now)
	}
	t.Begin(now, a)
	l.mu.Unlock()
	go l.call(t, a)
	return maxIdle
}

// call makes a call to the log and records its result.
func (l *Limiter) call(t *term.Term, a term.Action) {
	part := t.Part()
	defer l.signal()
	if a.Kind == term.Read {
		before := l.log.Generation()
		r, end, err := l.log.Newest(part)
		after := l.log.Generation()
		if err == nil && before != after && before != 0 {
			err = errRestored
		}
		isNear := err == nil && l.network.IsNear(r.Holder)
		l.mu.Lock()
		defer l.mu.Unlock()
		t.Refreshed(l.clock(), r, end, after, err)
		l.setNear(part, r.Holder, isNear)
		return
	}
	end, result := l.log.Append(part, a.Record, a.At)
	generation := l.log.Generation()
	l.mu.Lock()
	now := l.clock()
	t.Appended(now, end, generation, result)
	if t == l.terms[part] {
		l.updateHolding(now, part)
	}
	r, announced, ok := t.Announcement()
	l.mu.Unlock()
	if ok && result == term.Done {
		l.network.AnnounceTerm(part, r, announced)
	}
}

// Stop gives up all parts, so that other nodes can claim them at once. It makes one call
// to the log for each part that this node holds and returns without waiting for them.
func (l *Limiter) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
	now := l.clock()
	for _, t := range l.terms {
		if a, ok := t.Release(); ok {
			t.Begin(now, a)
			go l.call(t, a)
		}
	}
	l.updateHoldings(now)
}

// errRestored means that the log came back from a copy during a read.
var errRestored = errors.New("ratelimit: the log came back from a copy")
