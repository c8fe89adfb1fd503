package ownership

import (
	"slices"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
)

// counts reports whether a record takes effect on the state in force.
func (t *Table) counts(s state) bool {
	if s.released {
		return true
	}
	base, id := t.Base()
	if s.record.Base != base || s.record.BaseID != id {
		return false
	}
	if t.Vacant() {
		return s.owners.Contains(s.record.Appender)
	}
	return t.current.owners.Contains(s.record.Appender) || t.replaces(s)
}

// replaces reports whether a new incarnation takes the place of its own older
// one and changes nothing else.
func (t *Table) replaces(s state) bool {
	old, ok := t.current.owners.Replaced(s.record.Appender)
	if !ok || s.owners.Len() != t.current.owners.Len() {
		return false
	}
	want := t.current.owners.IDs()
	want[slices.Index(want, old)] = s.record.Appender
	slices.SortFunc(want, instance.ID.Compare)
	return slices.Equal(want, s.owners.ids)
}

// Snapshot returns the table in force for a peer that can't find it in the
// log, or false if there is none.
func (t *Table) Snapshot() (message.OwnerSnapshot, bool) {
	if t.current.epoch == 0 {
		return message.OwnerSnapshot{}, false
	}
	return message.OwnerSnapshot{
		Generation: t.generation, Next: t.next,
		Epoch: t.current.epoch, Record: t.current.record,
	}, true
}

// Restore takes a peer's table if none is known in the same log generation.
// The log has to be read again from Next afterwards. It reports whether the
// snapshot was taken.
func (t *Table) Restore(s message.OwnerSnapshot) bool {
	if t.current.epoch != 0 || t.empty || t.started && s.Generation != t.generation {
		return false
	}
	owners, ok := newOwners(s.Record.Owners)
	if s.Record.Service != t.service || !ok && !s.Record.Release {
		return false
	}
	*t = Table{service: t.service, started: true, generation: s.Generation, next: s.Next}
	t.current = state{epoch: s.Epoch, record: s.Record, owners: owners, released: s.Record.Release}
	return true
}
