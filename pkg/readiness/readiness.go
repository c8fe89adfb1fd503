package readiness

import "time"

const (
	// unconfirmed is the number of heartbeats in a row, with rising sequence
	// numbers, that stand in for a health check that fails: health checks can
	// be wrong, and a server that leaves sends none of these heartbeats.
	unconfirmed = 3
	// silent is the age of the last heartbeat from which a server counts as
	// gone if connections to it fail as well. It covers two lost heartbeats at
	// the usual interval of 1.5 s.
	silent = 5 * time.Second
)

// State says what the own backend server is doing.
type State uint8

// States of a backend server.
const (
	Absent   State = iota // unknown, unconfirmed or gone
	Ready                 // takes requests
	Draining              // finishes its requests and takes no new ones
)

// Incarnation identifies one start of a backend server.
type Incarnation struct {
	ID   string
	Born int64 // Unix milliseconds of the start, by the server's clock
}

// Heartbeat is what a backend server says of itself.
type Heartbeat struct {
	Incarnation
	Service  string
	Address  string
	Domain   string // failure domain
	Slots    int    // requests that it runs at once
	Draining bool
	Cold     time.Duration // how long it remains slow after its start
	Sequence int64
}

// Tracker follows the incarnations of one backend server. The zero value knows
// of none. It is not safe for concurrent use.
type Tracker struct {
	state    State
	last     Heartbeat
	seen     time.Time
	left     Incarnation // the newest incarnation known to leave
	fresh    int         // heartbeats in a row of the unconfirmed incarnation
	failing  bool        // connections to the server fail
	gone     bool        // the server deregistered or its process ended
	revision uint64
}

// Observe takes a heartbeat. It reports whether the health check of the server
// should be asked before it takes requests.
func (p *Tracker) Observe(now time.Time, h Heartbeat) (confirm bool) {
	if p.isOld(h) {
		return false
	}
	changed := h.Incarnation != p.last.Incarnation
	if changed {
		p.state, p.fresh, p.gone = Absent, 0, false
		p.revision++
	}
	p.last, p.seen, p.failing = h, now, false
	switch {
	case h.Draining:
		p.drain()
	case p.state == Absent && !p.gone:
		p.fresh++
		if p.fresh >= unconfirmed {
			p.set(Ready)
			return false
		}
		return true
	}
	return false
}

// isOld reports whether a heartbeat was sent before one already taken, or by an
// incarnation that is leaving or that another one has replaced.
func (p *Tracker) isOld(h Heartbeat) bool {
	switch {
	case h.Incarnation == p.left:
		return !h.Draining
	case h.Incarnation == p.last.Incarnation:
		return h.Sequence <= p.last.Sequence
	}
	return h.Born < p.last.Born || h.Born < p.left.Born
}

// RecordHealthCheck takes the answer of the server's health check.
func (p *Tracker) RecordHealthCheck(id string, healthy bool) {
	if p.state == Absent && !p.gone && healthy && p.last.ID == id && p.last.Incarnation != p.left && !p.last.Draining {
		p.set(Ready)
	}
}

// Deregister records that the server with this id deregistered.
func (p *Tracker) Deregister(id string) {
	if p.last.ID == id || p.last.ID == "" {
		p.last.ID = id
		p.drain()
	}
}

// MarkLeaving records that another node knows an incarnation to be leaving.
func (p *Tracker) MarkLeaving(i Incarnation) {
	switch {
	case i == p.last.Incarnation:
		p.drain()
	case i.Born > p.left.Born:
		p.left = i
	}
}

// ConnectionRefused records that a connection to the server was refused.
func (p *Tracker) ConnectionRefused(now time.Time) {
	p.failing = true
	if p.state == Ready {
		p.fresh = 0
		p.set(Absent)
	}
	_ = now
}

// ConnectionAccepted records that a connection to the server was accepted.
func (p *Tracker) ConnectionAccepted() { p.failing = false }

// Tick notices that the server has fallen silent.
func (p *Tracker) Tick(now time.Time) {
	if p.failing && p.state == Draining && now.Sub(p.seen) > silent {
		p.gone = true
		p.set(Absent)
	}
}

func (p *Tracker) drain() {
	p.left = p.last.Incarnation
	p.set(Draining)
}

func (p *Tracker) set(s State) {
	if p.state != s {
		p.state = s
		p.revision++
	}
}

// State returns what the server is doing.
func (p *Tracker) State() State { return p.state }

// Revision grows with each change of state or incarnation.
func (p *Tracker) Revision() uint64 { return p.revision }

// Last returns the newest heartbeat.
func (p *Tracker) Last() Heartbeat { return p.last }

// Leaving returns the newest incarnation known to leave.
func (p *Tracker) Leaving() Incarnation { return p.left }

// String names the state as logs show it.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	}
	return "absent"
}
