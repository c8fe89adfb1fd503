package acceptor

import (
	"time"

	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/outcome"
)

const (
	// maxSuspects bounds how many suspects wait at one server.
	maxSuspects = 16
	// isolationWait bounds how long the server is kept from starting other
	// calls while it empties for a suspect. Long runs, such as downloads,
	// would otherwise leave it without work.
	isolationWait = 250 * time.Millisecond
	// isolationShare is the part of the time, one in so many, for which
	// suspects may keep a busy server to themselves.
	isolationShare = 10
)

// isolation is the state of running a suspect alone.
type isolation struct {
	emptying bool      // nothing starts until the running calls have ended
	alone    bool      // a suspect runs
	since    time.Time // start of emptying
	next     time.Time // when the server may be emptied again
}

// active reports whether other calls have to wait.
func (i *isolation) active() bool { return i.emptying || i.alone }

// end lets other calls run again.
func (i *isolation) end(now time.Time) {
	i.emptying, i.alone = false, false
	i.next = now.Add((isolationShare - 1) * now.Sub(i.since))
}

// hold lets a suspect wait until it can run alone. Half of its time is kept
// for another server.
func (a *Acceptor) hold(now time.Time, e *entry, out []action.Action) []action.Action {
	e.state = suspect
	e.handle = a.suspects.Push(e.offer.Priority, now.Add(e.offer.Remaining/2), e)
	if a.suspects.Len() > maxSuspects {
		lowest, _ := a.suspects.Evict()
		out = a.refuse(now, lowest, outcome.Suspect, out)
	}
	return a.dispatch(now, out)
}

// isolate runs the next suspect if the server is empty, and otherwise empties
// it, within the share of the time that suspects have.
func (a *Acceptor) isolate(now time.Time, out []action.Action) []action.Action {
	i := &a.isolation
	if i.alone {
		return out
	}
	if a.suspects.Len() == 0 {
		i.emptying = false
		return out
	}
	if a.running.Len() == 0 {
		return a.runAlone(now, out)
	}
	switch {
	case !i.emptying && !now.Before(i.next):
		i.emptying, i.since = true, now
	case i.emptying && now.Sub(i.since) > isolationWait:
		i.end(now)
	}
	return out
}

// runAlone starts the first suspect that can still run.
func (a *Acceptor) runAlone(now time.Time, out []action.Action) []action.Action {
	i := &a.isolation
	if !i.emptying {
		i.since = now
	}
	for !i.alone {
		e, ok := a.suspects.Pop()
		if !ok {
			i.emptying = false
			return out
		}
		out, i.alone = a.start(now, e, out)
		if i.alone {
			e.alone = true
		}
	}
	i.emptying = false
	return out
}
