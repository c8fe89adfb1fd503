package acceptor

import (
	"time"

	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/message"
)

// BeginChild records that a run has called another service. Until all its
// child calls have ended, the run does not count against the learned limit and
// the time does not count as run time of the backend server.
func (a *Acceptor) BeginChild(now time.Time, parent message.CallID, out []action.Action) []action.Action {
	e := a.entries.newestRun(parent)
	if e == nil {
		return out
	}
	e.children++
	if e.children > 1 {
		return out
	}
	a.limiter.Pause(now, now.Sub(e.resumed))
	return a.dispatch(now, out)
}

// EndChild records that a child call of a run has ended. Each BeginChild needs
// one EndChild; those after the end of the parent are ignored.
func (a *Acceptor) EndChild(now time.Time, parent message.CallID) {
	e := a.entries.newestRun(parent)
	if e == nil || e.children == 0 {
		return
	}
	e.children--
	if e.children == 0 {
		e.resumed = now
		a.limiter.Resume(now)
	}
}
