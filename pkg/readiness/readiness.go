package readiness

import "time"

const (
	// confirmingHeartbeats is the number of consecutive heartbeats with rising
	// sequence numbers that override a failing health check. Health checks can
	// fail on a healthy server, and a leaving server sends no such heartbeats.
	confirmingHeartbeats = 3
	// heartbeatTimeout is the age of the last heartbeat above which a draining
	// server to which connections fail counts as stopped. It covers two lost
	// heartbeats at the usual interval of 1.5 s.
	heartbeatTimeout = 5 * time.Second
)

// State is the readiness of a backend server.
type State uint8

// States of a backend server.
const (
	Absent   State = iota // unknown, not yet confirmed, or stopped
	Ready                 // accepts requests
	Draining              // finishes its requests and accepts no new ones
)

// Incarnation identifies one start of a backend server.
type Incarnation struct {
	ID   string
	Born int64 // Unix milliseconds of the start, by the server's clock
}

// Heartbeat is the periodic status report of a backend server.
type Heartbeat struct {
	Incarnation
	Service  string
	Address  string
	Domain   string // failure domain
	Slots    int    // requests that it runs concurrently
	Draining bool
	WarmUp   time.Duration // remaining warm-up time after the start
	Sequence int64
}

// Tracker tracks the incarnations of one backend server and the readiness of
// the newest. The zero value knows of no server. It is not safe for concurrent
// use.
type Tracker struct {
	state    State
	last     Heartbeat
	lastSeen time.Time
	leaving  Incarnation // newest incarnation known to be leaving
	// deregistered is a server that deregistered before any heartbeat of it
	// arrived, with the latest start that is meant.
	deregistered Incarnation
	consecutive  int  // consecutive heartbeats of an incarnation not yet confirmed
	unreachable  bool // connections to the server are refused
	stopped      bool // a draining server stopped sending heartbeats and refuses connections
	revision     uint64
}

// Observe records a heartbeat. It reports whether the server needs a health
// check before it accepts requests.
func (t *Tracker) Observe(now time.Time, h Heartbeat) (confirm bool) {
	if t.isStale(h) {
		return false
	}
	changed := h.Incarnation != t.last.Incarnation
	if changed {
		t.state, t.consecutive, t.stopped = Absent, 0, false
		t.revision++
	}
	t.last, t.lastSeen, t.unreachable = h, now, false
	switch {
	case h.Draining:
		t.drain()
	case t.state == Absent && !t.stopped:
		t.consecutive++
		if t.consecutive >= confirmingHeartbeats {
			t.setState(Ready)
			return false
		}
		return true
	}
	return false
}

// isStale reports whether a heartbeat was sent before one already recorded, or
// by an incarnation that is leaving or was replaced.
func (t *Tracker) isStale(h Heartbeat) bool {
	switch {
	case h.Incarnation == t.leaving, h.ID == t.deregistered.ID && h.Born <= t.deregistered.Born:
		return !h.Draining
	case h.Incarnation == t.last.Incarnation:
		// A server that drains does not become ready again, however late it is heard of.
		return h.Sequence <= t.last.Sequence && !h.Draining
	}
	return h.Born < t.last.Born || h.Born < t.leaving.Born
}

// RecordHealthCheck records the result of a health check of the server id.
func (t *Tracker) RecordHealthCheck(id string, healthy bool) {
	if t.state == Absent && !t.stopped && healthy && t.last.ID == id && t.last.Incarnation != t.leaving && !t.last.Draining {
		t.setState(Ready)
	}
}

// Deregister records that the server id deregistered. A deregistration does not
// tell the start of the server. If no heartbeat has told it either, all starts
// before now are meant: their heartbeats may still arrive.
func (t *Tracker) Deregister(now time.Time, id string) {
	if t.last.ID != id || t.last.Born == 0 {
		t.deregistered = Incarnation{ID: id, Born: now.UnixMilli()}
	}
	if t.last.ID == id || t.last.ID == "" {
		t.last.ID = id
		t.drain()
	}
}

// MarkLeaving records that another node reported an incarnation as leaving.
func (t *Tracker) MarkLeaving(i Incarnation) {
	switch {
	case i == t.last.Incarnation:
		t.drain()
	case i.Born > t.leaving.Born:
		t.leaving = i
	}
}

// ConnectionRefused records that a connection to the server was refused.
func (t *Tracker) ConnectionRefused(now time.Time) {
	t.unreachable = true
	if t.state == Ready {
		t.consecutive = 0
		t.setState(Absent)
	}
	_ = now
}

// ConnectionAccepted records that a connection to the server was accepted.
func (t *Tracker) ConnectionAccepted() { t.unreachable = false }

// Tick detects that a draining server has stopped.
func (t *Tracker) Tick(now time.Time) {
	if t.unreachable && t.state == Draining && now.Sub(t.lastSeen) > heartbeatTimeout {
		t.stopped = true
		t.setState(Absent)
	}
}

func (t *Tracker) drain() {
	t.leaving = t.last.Incarnation
	t.setState(Draining)
}

func (t *Tracker) setState(s State) {
	if t.state != s {
		t.state = s
		t.revision++
	}
}

// State returns the readiness of the server.
func (t *Tracker) State() State { return t.state }

// Revision returns a number that grows with each change of state or
// incarnation.
func (t *Tracker) Revision() uint64 { return t.revision }

// Last returns the newest heartbeat.
func (t *Tracker) Last() Heartbeat { return t.last }

// Leaving returns the newest incarnation known to be leaving.
func (t *Tracker) Leaving() Incarnation { return t.leaving }

// String returns the name of the state in logs.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	}
	return "absent"
}
