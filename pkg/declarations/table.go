package declarations

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/stream"
)

// horizon is the number of records within which a change must follow the
// version that it was made from. It bounds how long removed customers have to
// be remembered: more than two days at 28,000 changes a day.
const horizon = 1 << 16

// table is what is in force after the record at version. It is a function of
// the log up to there.
type table struct {
	version  stream.Position
	base     stream.Position // newest version of an older generation contained in the table
	start    int64           // offset before the first record that was read
	ready    bool            // the table is whole
	entries  map[string]*entry
	removed  []*entry // entries without contract, in the order of removal
	hash     uint64   // XOR of the hashes of entries with a contract
	waiting  []waiting
	snapshot stream.Position // position of the last snapshot read
}

// entry is the declaration for one customer.
type entry struct {
	message.Entry
	contract *contract.Contract // nil if the customer was removed
}

// waiting is a record that was read before the table was whole.
type waiting struct {
	position stream.Position
	id       string
	record   message.DeclarationRecord
}

// newTable returns the table before the record at offset first. A log that
// retains all records needs no snapshot to start from.
func newTable(generation uint64, first int64) *table {
	return &table{
		version: stream.At(generation, first-1),
		start:   first - 1,
		ready:   first == 0,
		entries: make(map[string]*entry),
	}
}

// tableOf returns the table that a whole snapshot describes.
func tableOf(s message.Snapshot) *table {
	t := &table{version: s.Version, base: s.Base, ready: true, entries: make(map[string]*entry), snapshot: s.Last}
	t.merge(s.Entries, stream.Position{})
	return t
}

// contains reports whether everything that was in force at p went into t.
func (t *table) contains(p stream.Position) bool {
	if p.Generation < t.version.Generation {
		return t.base.Compare(p) >= 0
	}
	return t.version.Compare(p) >= 0
}

// append applies the next record of the log. It returns the change that the
// record holds, if any, and what became of it.
func (t *table) append(position stream.Position, id string, data []byte) (*message.Change, error) {
	record, err := message.Decode[message.DeclarationRecord](data)
	t.version = position
	if err != nil {
		return nil, &RecordError{reason: "encoding", cause: err}
	}
	if s := record.Snapshot; s != nil && !isSound(s) {
		return nil, &RecordError{reason: "snapshot with an entry that no change can have made"}
	}
	w := waiting{position: position, id: id, record: record}
	if !t.ready {
		t.await(w)
		return record.Change, nil
	}
	return record.Change, t.apply(w)
}

// await keeps a record until a snapshot makes the table whole.
func (t *table) await(w waiting) {
	t.waiting = append(t.waiting, w)
	s := w.record.Snapshot
	if s == nil || !t.startsFrom(s, w.position) {
		return
	}
	records := t.waiting
	t.base, t.ready, t.waiting, t.snapshot = s.Base, true, nil, w.position
	t.merge(s.Entries, stream.Position{})
	for _, r := range records {
		if r.position.After(s.Version) {
			// The outcome was reported when the record was first read,
			// by nodes that were up to date.
			_ = t.apply(r)
		}
	}
}

// startsFrom reports whether the records after the snapshot have all been
// read.
func (t *table) startsFrom(s *message.Snapshot, at stream.Position) bool {
	return s.Version.Generation == at.Generation && s.Version.Offset >= t.start && s.Version.Offset < at.Offset
}

func (t *table) apply(w waiting) error {
	switch {
	case w.record.Change != nil:
		return t.change(w.position, w.id, w.record.Change)
	case w.record.Snapshot != nil:
		t.include(w.position, w.record.Snapshot)
		return nil
	}
	return &RecordError{reason: "neither change nor snapshot"}
}

// change applies what an operator published. The change takes effect as a
// whole or not at all.
func (t *table) change(position stream.Position, id string, c *message.Change) error {
	if err := check(c); err != nil {
		return err
	}
	if c.Base.Compare(position) >= 0 {
		return &RecordError{reason: "made from a version that is not before it"}
	}
	if !isWithinHorizon(c.Base, position) || !t.contains(c.Base) {
		return &StaleError{base: c.Base}
	}
	if err := t.conflict(id, c); err != nil {
		return err
	}
	for i := range c.Contracts {
		d := &c.Contracts[i]
		t.set(message.Entry{Customer: d.Customer, Changed: position, Record: id, Operator: c.Operator, Contract: d})
	}
	for _, customer := range c.Removed {
		t.set(message.Entry{Customer: customer, Changed: position, Record: id, Operator: c.Operator})
	}
	t.forget(position)
	return nil
}

// extend brings the table to the version of an update that starts at or before
// its own version.
func (t *table) extend(u *message.DeclarationsUpdate) {
	t.merge(u.Table.Entries, u.Since)
	t.version, t.base, t.snapshot = u.Table.Version, u.Table.Base, u.Table.Last
	t.forget(t.version)
}

// conflict returns a *ConflictError if a customer of c was changed after the
// version from which c was made. A second copy of a record in force is none.
func (t *table) conflict(id string, c *message.Change) error {
	for _, customer := range customers(c) {
		e := t.entries[customer]
		if e == nil || !e.Changed.After(c.Base) || e.Record == id {
			continue
		}
		return &ConflictError{customer: customer, winner: e.Record, operator: e.Operator, position: e.Changed}
	}
	return nil
}

// include takes over what a snapshot of an older generation holds beyond the
// table. A snapshot of the own generation holds nothing new.
func (t *table) include(position stream.Position, s *message.Snapshot) {
	t.snapshot = position
	if s.Version.Generation >= position.Generation || !s.Version.After(t.base) {
		return
	}
	t.merge(s.Entries, t.base)
	t.base = s.Version
}

// merge takes over the entries that changed after since, unless the table has
// a newer one.
func (t *table) merge(entries []message.Entry, since stream.Position) {
	for _, e := range entries {
		old := t.entries[e.Customer]
		if e.Changed.After(since) && (old == nil || e.Changed.After(old.Changed)) {
			t.set(e)
		}
	}
}

func (t *table) set(m message.Entry) {
	if old := t.entries[m.Customer]; old != nil {
		t.hash ^= old.sum()
	}
	e := &entry{Entry: m}
	if m.Contract != nil {
		e.contract = contract.FromDocument(*m.Contract)
	} else {
		t.removed = append(t.removed, e)
	}
	t.entries[m.Customer] = e
	t.hash ^= e.sum()
}

// forget drops removed customers that no change within the horizon can
// conflict with.
func (t *table) forget(position stream.Position) {
	kept := slices.IndexFunc(t.removed, func(e *entry) bool { return isWithinHorizon(e.Changed, position) })
	if kept < 0 {
		kept = len(t.removed)
	}
	for _, e := range t.removed[:kept] {
		if t.entries[e.Customer] == e {
			delete(t.entries, e.Customer)
		}
	}
	t.removed = t.removed[kept:]
}

// since returns a snapshot of the entries that changed after p, in the order
// of customers.
func (t *table) since(p stream.Position) message.Snapshot {
	s := message.Snapshot{Version: t.version, Base: t.base, Last: t.snapshot}
	for _, e := range t.entries {
		if e.Changed.After(p) {
			s.Entries = append(s.Entries, e.Entry)
		}
	}
	slices.SortFunc(s.Entries, func(a, b message.Entry) int {
		if a.Customer < b.Customer {
			return -1
		}
		return 1
	})
	return s
}

// sum returns the hash of a customer's entry, or 0 if it has no contract.
func (e *entry) sum() uint64 {
	if e.contract == nil {
		return 0
	}
	data := make([]byte, 0, 64)
	data = binary.BigEndian.AppendUint64(data, e.Changed.Generation)
	data = binary.BigEndian.AppendUint64(data, uint64(e.Changed.Offset))
	return xxhash.Sum64(append(data, e.Customer...))
}

// isWithinHorizon reports whether p is recent enough at the record at now.
func isWithinHorizon(p, now stream.Position) bool {
	if p.Generation == now.Generation {
		return p.Offset >= now.Offset-horizon
	}
	return now.Offset <= horizon
}

func customers(c *message.Change) []string {
	names := make([]string, 0, len(c.Contracts)+len(c.Removed))
	for i := range c.Contracts {
		names = append(names, c.Contracts[i].Customer)
	}
	return append(names, c.Removed...)
}

// isSound reports whether each entry of a snapshot is one that changes up to
// its version can have made.
func isSound(s *message.Snapshot) bool {
	for i := range s.Entries {
		e := &s.Entries[i]
		if e.Changed.After(s.Version) {
			return false
		}
		if e.Contract != nil && (e.Contract.Validate() != nil || e.Contract.Customer != e.Customer) {
			return false
		}
	}
	return true
}

func check(c *message.Change) error {
	for i := range c.Contracts {
		if err := c.Contracts[i].Validate(); err != nil {
			return &RecordError{reason: "contract", cause: err}
		}
	}
	names := customers(c)
	slices.Sort(names)
	if len(names) == 0 {
		return &RecordError{reason: "touches no customer"}
	}
	if len(slices.Compact(names)) < len(c.Contracts)+len(c.Removed) {
		return &RecordError{reason: "touches a customer twice"}
	}
	return nil
}
