package declarations

import (
	"time"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/stream"
)

// Tick appends the messages that are due to out: a new version to some peers,
// and a digest to one peer in each interval.
func (s *State) Tick(now time.Time, peers []instance.ID, out []Send) []Send {
	if len(peers) == 0 {
		return out
	}
	s.start(now)
	out = s.push(peers, out)
	if now.Before(s.digestDue) {
		return out
	}
	s.digestDue = now.Add(s.interval)
	return append(out, s.digest(peers[s.random.IntN(len(peers))], false))
}

// patience is the time that a greeted peer has to answer.
const patience = time.Second

// Greet appends a digest for a peer to out. A node that starts greets some
// peers, so that it knows their versions before it serves.
func (s *State) Greet(now time.Time, peer instance.ID, out []Send) []Send {
	if !s.started {
		s.greeted[peer] = now.Add(patience)
	}
	return append(out, s.digest(peer, false))
}

// Receive handles a control message of a peer. Messages for others are
// ignored.
func (s *State) Receive(now time.Time, from instance.ID, m message.Control, out []Send) []Send {
	switch {
	case m.DeclarationsDigest != nil:
		delete(s.greeted, from)
		out = s.compare(now, from, m.DeclarationsDigest, out)
	case m.DeclarationsUpdate != nil:
		delete(s.greeted, from)
		out = s.update(now, from, m.DeclarationsUpdate, out)
	default:
		return out
	}
	s.start(now)
	return out
}

// push sends what is new in force to some peers.
func (s *State) push(peers []instance.ID, out []Send) []Send {
	if s.force == nil || s.force.version == s.pushed {
		return out
	}
	if s.pushed.IsZero() {
		// What was in force at the start is known to peers, or found by digest.
		s.pushed = s.force.version
		return out
	}
	update := s.difference(s.pushed, s.force.base)
	s.pushed = s.force.version
	for range min(s.fanout, len(peers)) {
		to := peers[s.random.IntN(len(peers))]
		out = append(out, Send{To: to, Control: message.Control{DeclarationsUpdate: update}})
	}
	return out
}

func (s *State) digest(to instance.ID, reply bool) Send {
	d := &message.DeclarationsDigest{Reply: reply}
	if s.force != nil {
		d.Version, d.Base, d.Hash = s.force.version, s.force.base, s.force.hash
	}
	return Send{To: to, Control: message.Control{DeclarationsDigest: d}}
}

// compare answers a digest with an update if the peer lacks something, and
// with a digest if this node does.
func (s *State) compare(now time.Time, from instance.ID, d *message.DeclarationsDigest, out []Send) []Send {
	s.note(now, d.Version)
	if s.force == nil || isBehind(s.force, d) {
		if d.Version.IsZero() || d.Reply {
			return out
		}
		return append(out, s.digest(from, true))
	}
	v := s.force.version
	if v == d.Version {
		s.verify(from, d)
		return out
	}
	if d.Version.After(v) {
		// The peer follows a newer generation of the log that lacks what is
		// in force here. It appends the snapshot that it gets by this.
		return append(out, Send{To: from, Control: message.Control{DeclarationsUpdate: s.difference(zero, zero)}})
	}
	if !s.force.contains(d.Version) && !d.Reply {
		return append(out, s.digest(from, true))
	}
	return append(out, Send{To: from, Control: message.Control{DeclarationsUpdate: s.difference(d.Version, d.Base)}})
}

// isBehind reports whether the peer's table contains all of t and more.
func isBehind(t *table, d *message.DeclarationsDigest) bool {
	peer := table{version: d.Version, base: d.Base}
	return d.Version.After(t.version) && peer.contains(t.version)
}

func (s *State) verify(from instance.ID, d *message.DeclarationsDigest) {
	if s.force.hash == d.Hash {
		return
	}
	s.results = append(s.results, Result{Position: d.Version, Err: &DivergenceError{peer: from, version: d.Version}})
}

// difference returns what brings a peer from since to the version in force. It
// is the whole table where the peer's has another base, because entries of an
// older generation that came with the base don't show in their positions.
func (s *State) difference(since, base stream.Position) *message.DeclarationsUpdate {
	v := s.force.version
	if since.Generation != v.Generation || since.After(v) || !isWithinHorizon(since, v) || base != s.force.base {
		since = zero
	}
	return &message.DeclarationsUpdate{Since: since, Table: s.force.since(since)}
}

// update applies an update, or asks for a larger one if it leaves a gap.
func (s *State) update(now time.Time, from instance.ID, u *message.DeclarationsUpdate, out []Send) []Send {
	s.note(now, u.Table.Version)
	if !isSound(&u.Table) {
		s.results = append(s.results, Result{Position: u.Table.Version, Err: &RecordError{reason: "update of a peer"}})
		return out
	}
	if s.force != nil && s.force.version.Generation > u.Table.Version.Generation {
		s.keep(u)
		return out
	}
	if s.force != nil && !u.Table.Version.After(s.force.version) {
		return out
	}
	if !u.Since.IsZero() && !s.extends(u) {
		return append(out, s.digest(from, false))
	}
	s.install(now, u)
	return out
}

// extends reports whether an update in part continues what is in force.
func (s *State) extends(u *message.DeclarationsUpdate) bool {
	return s.force != nil && !u.Since.After(s.force.version) &&
		u.Since.Generation == s.force.version.Generation &&
		u.Table.Version.Generation == s.force.version.Generation &&
		u.Table.Base == s.force.base
}

// install puts the table of an update into force, unless it lacks something
// that is in force here.
func (s *State) install(now time.Time, u *message.DeclarationsUpdate) {
	peer := table{version: u.Table.Version, base: u.Table.Base}
	if !peer.contains(s.Version()) {
		return
	}
	if s.force == nil || u.Since.IsZero() {
		s.force = tableOf(u.Table)
	} else {
		s.force.extend(u)
	}
	if s.next != nil && s.force.contains(s.next.version) {
		s.next = nil
	}
	s.promote(now)
}

// keep remembers a table of an older generation that the log lacks.
func (s *State) keep(u *message.DeclarationsUpdate) {
	if !u.Since.IsZero() || s.force.contains(u.Table.Version) {
		return
	}
	if s.rescue == nil || u.Table.Version.After(s.rescue.Version) {
		s.rescue = &u.Table
	}
}
