package ownership

import (
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
)

// maxUnproved bounds the records that are kept while no table is known.
const maxUnproved = 64

// Table holds the owner table of one service. Its zero value is not usable;
// see New. A Table is not safe for concurrent use.
type Table struct {
	service    string
	started    bool
	generation uint64
	next       uint64 // offset up to which the log is known without a gap
	empty      bool   // the log is known from offset 0 and holds no table
	current    state
	unproved   []state // candidates on a trimmed log, see prove
}

// state is a table in force, or a release, with the record that made it.
type state struct {
	epoch    uint64
	record   message.OwnerRecord
	owners   Owners
	released bool
}

// New returns the table of a service before anything of the log is known.
func New(service string) *Table { return &Table{service: service} }

// Service returns the name of the service.
func (t *Table) Service() string { return t.service }

// Generation returns the log generation of the last batch.
func (t *Table) Generation() uint64 { return t.generation }

// Next returns the offset from which the log has to be read on.
func (t *Table) Next() uint64 { return t.next }

// Epoch returns the epoch of the table in force, or 0 if none is known.
func (t *Table) Epoch() uint64 { return t.current.epoch }

// ID returns the ID of the record that made the table in force.
func (t *Table) ID() string { return t.current.record.ID }

// Owners returns the owners in force. They are empty if no table is known or
// an operator released the service.
func (t *Table) Owners() Owners { return t.current.owners }

// Known reports whether a table with owners is in force.
func (t *Table) Known() bool { return t.current.owners.Len() > 0 }

// Vacant reports whether the first table of the service may be made: the log
// is known from its beginning and holds none, or an operator released the
// service.
func (t *Table) Vacant() bool { return t.empty || t.current.released }

// Released reports whether an operator's release record is in force.
func (t *Table) Released() bool { return t.current.released }

// Owner returns the owner of a key and the epoch in force, or false if no
// table is known.
func (t *Table) Owner(key string) (instance.ID, uint64, bool) {
	id, ok := t.current.owners.Owner(Hash(key))
	return id, t.current.epoch, ok
}

// Base returns the base epoch and base record ID of a record that is made
// from the state in force.
func (t *Table) Base() (epoch uint64, id string) {
	if t.current.epoch == 0 {
		return Base(t.generation), ""
	}
	return t.current.epoch, t.current.record.ID
}

// Apply takes the result of a read. Records below Next are skipped. A batch
// of an older generation is ignored, and so is one from beyond Next unless the
// log before it is trimmed.
func (t *Table) Apply(b Batch) Progress {
	var p Progress
	if t.started && b.Generation < t.generation {
		return p
	}
	if b.Generation > maxGeneration || b.End > maxOffset {
		p.Reset = t.started
		t.forget(b)
		return p
	}
	if t.lost(b) {
		p.Reset = t.started
		t.begin(b)
	}
	if b.From > t.next {
		return p
	}
	for _, e := range b.Entries {
		t.take(e, &p)
	}
	t.next = max(t.next, b.Next)
	p.AtEnd = t.next == b.End
	return p
}

// lost reports whether what the table knows can't be continued with b.
func (t *Table) lost(b Batch) bool {
	return !t.started || b.Generation != t.generation || b.End < t.next || b.First > t.next
}

// begin drops what is known and starts at the first retained offset of b. A
// log that goes back is read again from its first offset.
func (t *Table) begin(b Batch) {
	t.forget(b)
	t.started = true
	t.empty = b.First == 0
}

func (t *Table) forget(b Batch) {
	*t = Table{service: t.service, generation: b.Generation, next: b.First}
}

func (t *Table) take(e Entry, p *Progress) {
	if e.Offset < t.next || e.Record.Service != t.service {
		return
	}
	t.next = e.Offset + 1
	s, ok := t.state(e)
	switch {
	case !ok:
		p.Rejected++
	case t.counts(s):
		t.install(s, p)
	case t.current.epoch == 0 && !t.empty:
		t.prove(s, p)
	default:
		p.Rejected++
	}
}

func (t *Table) state(e Entry) (state, bool) {
	s := state{epoch: Epoch(t.generation, e.Offset), record: e.Record}
	if e.Record.Release {
		s.released = true
		return s, e.Record.Appender.IsZero() && len(e.Record.Owners) == 0
	}
	owners, ok := newOwners(e.Record.Owners)
	s.owners = owners
	return s, ok
}

// install puts s into force.
func (t *Table) install(s state, p *Progress) {
	t.current = s
	t.empty = false
	t.unproved = nil
	p.Tables = append(p.Tables, View{Epoch: s.epoch, Owners: s.owners, First: s.record.BaseID == ""})
}

// prove handles a record on a trimmed log whose base is not retained. Such a
// record may have lost against a record that is no longer retained. It is
// proved to count as soon as a later record was made from it.
func (t *Table) prove(s state, p *Progress) {
	for _, u := range t.unproved {
		if s.record.Base == u.epoch && s.record.BaseID == u.record.ID {
			t.install(u, p)
			t.retry(s, p)
			return
		}
	}
	if len(t.unproved) == maxUnproved {
		t.unproved = t.unproved[1:]
	}
	t.unproved = append(t.unproved, s)
}

func (t *Table) retry(s state, p *Progress) {
	if t.counts(s) {
		t.install(s, p)
		return
	}
	p.Rejected++
}
