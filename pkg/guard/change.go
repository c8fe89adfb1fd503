package guard

import (
	"fmt"
	"slices"
	"time"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/ownership"
)

const (
	// rankPause keeps the owners from appending the same change at once: each
	// waits this long per live owner before it in the order of IDs.
	rankPause = 200 * time.Millisecond
	// retentionParts is the part of the retention after which a table is
	// appended again. A reader of a trimmed log needs two successive records
	// of a service, which a third of the retention guarantees.
	retentionParts = 3
)

// members is the view of live instances of the service.
type members struct {
	ids   []instance.ID
	known bool
}

// change is the state of the owner's own table change.
type change struct {
	since     time.Time // when the wanted change was first seen; zero if none is wanted
	differs   bool      // the wanted change names other owners than those in force
	sequence  int       // number of records written by this incarnation
	pending   *pending
	tableSeen time.Time // when the table in force was read; zero if its age is unknown
}

// pending is a record that was sent to the log and may still land.
type pending struct {
	record  message.OwnerRecord
	same    bool      // it names the owners in force
	sent    int       // number of appends
	waiting bool      // its append has not been answered
	doubt   time.Time // when its append was answered without a result; zero if it wasn't
}

func (c *change) wanted() bool { return !c.since.IsZero() }

func (c *change) forget() { c.since, c.differs = time.Time{}, false }

// missing notes a read to the end that doesn't show the pending record. Only
// a read that began after the append was given up says that it may be sent
// again, under the same ID.
func (c *change) missing(started time.Time) {
	if c.pending != nil && !c.pending.waiting && started.After(c.pending.doubt) {
		c.pending.doubt = time.Time{}
	}
}

// Members takes the live instances of the service as the failure detector
// knows them.
func (g *Guard) Members(_ time.Time, alive []instance.ID) {
	g.members.ids = append(g.members.ids[:0], alive...)
	if !slices.Contains(g.members.ids, g.self) {
		g.members.ids = append(g.members.ids, g.self)
	}
	slices.SortFunc(g.members.ids, instance.ID.Compare)
	g.members.known = true
	if _, ok := replacedBy(g.members.ids, g.self); ok {
		g.superseded = true
		g.lease.End()
	}
}

// AppendDone takes the result of an AppendRecord effect.
func (g *Guard) AppendDone(now time.Time, id string, result Result) {
	p := g.change.pending
	if p == nil || p.record.ID != id || !p.waiting {
		return
	}
	p.waiting = false
	p.doubt = now
	if result == Failed && p.sent == 1 {
		g.change.pending = nil
	}
}

// settle forgets the pending record once it can no longer change the table:
// another state than its base is in force, be it by this record or another. A
// read that doesn't show the record proves nothing, since it may land later.
func (g *Guard) settle() {
	p := g.change.pending
	if p == nil {
		return
	}
	if ownership.Generation(p.record.Base) < g.table.Generation() {
		g.change.pending = nil
		return
	}
	base, id := g.table.Base()
	if g.table.Epoch() != 0 && (base != p.record.Base || id != p.record.BaseID) {
		g.change.pending = nil
	}
}

// moves reports whether a record that may still land would change the owners.
func (c *change) moves() bool { return c.pending != nil && !c.pending.same }

// changeTable appends the table that this instance wants, or sends its
// pending record again.
func (g *Guard) changeTable(now time.Time) {
	if !g.fresh(now) || g.reads.failed || g.superseded {
		return
	}
	if g.change.pending != nil {
		g.resend()
		return
	}
	owners, ok := g.wanted(now)
	if !ok {
		g.change.forget()
		return
	}
	if !g.change.wanted() {
		g.change.since = now
	}
	g.change.differs = !g.unchanged(owners)
	if now.Before(g.change.since.Add(g.rank()*rankPause)) || now.Before(g.promises.hold) {
		return
	}
	g.send(g.record(owners))
}

func (g *Guard) record(owners []instance.ID) message.OwnerRecord {
	g.change.sequence++
	base, id := g.table.Base()
	return message.OwnerRecord{
		ID:      fmt.Sprintf("%s/%s/%d", g.service, g.self, g.change.sequence),
		Service: g.service, Base: base, BaseID: id, Owners: owners, Appender: g.self,
	}
}

func (g *Guard) send(r message.OwnerRecord) {
	g.change.pending = &pending{record: r, same: g.unchanged(r.Owners), sent: 1, waiting: true}
	g.effects = append(g.effects, Effect{Kind: AppendRecord, Record: r})
}

// unchanged reports whether the owners in force are these.
func (g *Guard) unchanged(owners []instance.ID) bool {
	return slices.Equal(owners, g.table.Owners().IDs())
}

// resend sends the pending record again after it was looked up in vain.
func (g *Guard) resend() {
	p := g.change.pending
	if p.waiting || !p.doubt.IsZero() {
		return
	}
	p.sent++
	p.waiting = true
	g.effects = append(g.effects, Effect{Kind: AppendRecord, Record: p.record})
}

// rank returns the number of live instances before this one among those that
// may append.
func (g *Guard) rank() time.Duration {
	n := 0
	for _, id := range g.members.ids {
		if id == g.self {
			break
		}
		if !g.table.Known() || g.table.Owners().Contains(id) {
			n++
		}
	}
	return time.Duration(n)
}
