package crash

import (
	"slices"
	"time"

	"github.com/papayapath/papayapath/pkg/quarantine"
	"github.com/papayapath/papayapath/pkg/readiness"
)

const (
	// maxBreakAge is the age from which an execution that ended without a response no
	// longer counts as in flight at a crash. The heartbeat of the next start, which may be
	// the only evidence, comes some seconds after a crash.
	maxBreakAge = 30 * time.Second
	// maxBreaks bounds the executions that are kept. The largest servers run about 1,500
	// requests at once.
	maxBreaks = 4096
)

// Tracker keeps the executions of a backend server that ended without a response until it
// is known whether the server had crashed. Neither a broken connection nor a withdrawn
// execution is evidence of a crash: the caller reports crashes to Crash. The zero value is
// ready to use. It is not safe for concurrent use.
type Tracker struct {
	breaks []broken // ordered by time
}

// broken is an execution that ended without a response.
type broken struct {
	server  readiness.Incarnation
	request quarantine.Request
	at      time.Time
}

// Break records that an execution ended without a response, because its connection broke
// or because it was withdrawn.
func (t *Tracker) Break(now time.Time, server readiness.Incarnation, r quarantine.Request) {
	t.expire(now)
	if len(t.breaks) >= maxBreaks {
		t.breaks = slices.Delete(t.breaks, 0, 1)
	}
	t.breaks = append(t.breaks, broken{server: server, request: r, at: now})
}

// Answer records a response to a request that was sent at sent, on a connection that was
// opened at opened. The server that accepted the connection was still running at sent, so
// that the executions that ended in between were not in flight at a crash.
func (t *Tracker) Answer(opened, sent time.Time) {
	if len(t.breaks) == 0 {
		return
	}
	t.breaks = slices.DeleteFunc(t.breaks, func(b broken) bool { return b.at.After(opened) && b.at.Before(sent) })
}

// Crash returns the requests of the ended executions that may have been in flight when
// server crashed, and forgets them.
func (t *Tracker) Crash(now time.Time, server readiness.Incarnation) []quarantine.Request {
	t.expire(now)
	var inFlight []quarantine.Request
	known := make(map[quarantine.Request]struct{})
	for _, b := range t.breaks {
		if _, ok := known[b.request]; !ok && b.server == server {
			known[b.request] = struct{}{}
			inFlight = append(inFlight, b.request)
		}
	}
	t.Forget(server)
	return inFlight
}

// Forget forgets the executions of a server that ended as announced.
func (t *Tracker) Forget(server readiness.Incarnation) {
	t.breaks = slices.DeleteFunc(t.breaks, func(b broken) bool { return b.server == server })
}

// expire forgets the executions that ended too long ago.
func (t *Tracker) expire(now time.Time) {
	first := slices.IndexFunc(t.breaks, func(b broken) bool { return now.Sub(b.at) < maxBreakAge })
	if first < 0 {
		first = len(t.breaks)
	}
	t.breaks = slices.Delete(t.breaks, 0, first)
}
