package guard

import (
	"time"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/lease"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/ownership"
)

const (
	// readInterval is the time between two reads of a healthy log.
	readInterval = lease.Duration / 4
	// readRetry is the time between two reads of a failing log.
	readRetry = lease.Duration / 8
	// readUrgent is the time between two reads while the log may hold more
	// than was read. It is shorter than rankPause, so that an owner sees a
	// change by another before it makes the same one.
	readUrgent = lease.Duration / 20
	// readTimeout is how long an unanswered read keeps the next one back.
	readTimeout = lease.Duration / 2
)

// reads is what the guard knows of its reads of the log.
type reads struct {
	once     bool      // the log was read to its end since the start or the last reset
	failed   bool      // the last read gave no result
	end      bool      // the last read reached the end
	start    time.Time // start of the newest read to the end
	finish   time.Time // when that read was taken in
	asked    time.Time // when a read was last asked for
	waiting  bool      // that read has not been answered
	heard    uint64    // newest epoch that others mentioned
	heardAt  time.Time
	tableAsk time.Time // when peers were last asked for the table
}

// Read takes the result of a read that began at started. For a read that a
// peer relayed, started comes from lease.RelayStart.
func (g *Guard) Read(now, started time.Time, batch ownership.Batch) {
	g.reads.waiting, g.reads.failed = false, false
	if g.outrun(started, batch) {
		return
	}
	generation, owned := g.table.Generation(), g.isOwner()
	p := g.table.Apply(batch)
	if p.Reset {
		g.reset()
		g.heir = g.heir || owned && g.table.Generation() != generation
	}
	for _, v := range p.Tables {
		g.install(now, v)
	}
	g.settle()
	g.reads.end = p.AtEnd
	if p.AtEnd {
		g.reachedEnd(now, started)
	}
}

// ReadFailed reports that a read gave no result.
func (g *Guard) ReadFailed(time.Time) { g.reads.waiting, g.reads.failed = false, true }

// outrun reports whether a read began before a newer one was taken in and
// shows less than that one. Its shorter log is no sign of a log that went back.
func (g *Guard) outrun(started time.Time, b ownership.Batch) bool {
	return started.Before(g.reads.finish) &&
		b.Generation == g.table.Generation() && b.End < g.table.Next()
}

// reset drops all rights that rest on a log that no longer holds.
func (g *Guard) reset() {
	g.alone = false
	g.lease.End()
	g.history.clear()
	g.promises.forget()
	g.change.forget()
	g.reads.once = false
	g.reads.start = time.Time{}
}

// install takes a table that came into force.
func (g *Guard) install(now time.Time, v ownership.View) {
	g.heir = false
	g.alone = v.Owners.Len() == 1 && (v.First || g.alone)
	g.history.add(now, v.Owners)
	g.promises.forget()
	g.change.forget()
	g.change.tableSeen = time.Time{}
	if g.reads.once {
		g.change.tableSeen = now
	}
	if _, ok := replacedBy(v.Owners.IDs(), g.self); ok {
		g.superseded = true
	}
	if !v.Owners.Contains(g.self) {
		g.lease.End()
		return
	}
	g.lease.Reset(v.Epoch, g.others(v.Owners))
}

// others returns the owners but for this instance.
func (g *Guard) others(o ownership.Owners) []instance.ID {
	ids := make([]instance.ID, 0, o.Len())
	for _, id := range o.IDs() {
		if id != g.self {
			ids = append(ids, id)
		}
	}
	return ids
}

// reachedEnd takes a read that showed the table in force as the newest.
func (g *Guard) reachedEnd(now, started time.Time) {
	g.reads.once = true
	g.reads.finish = now
	if started.After(g.reads.start) {
		g.reads.start = started
	}
	if started.After(g.reads.heardAt) {
		g.reads.heard = 0
	}
	g.change.missing(started)
	if g.isOwner() && !g.superseded {
		g.lease.Read(g.table.Epoch(), started)
	}
}

// hear notes an epoch that another node mentioned.
func (g *Guard) hear(now time.Time, epoch uint64) {
	if epoch > g.table.Epoch() && epoch > g.reads.heard {
		g.reads.heard, g.reads.heardAt = epoch, now
	}
}

// fresh reports whether the log was read to its end within a lease duration.
func (g *Guard) fresh(now time.Time) bool {
	return g.reads.once && g.reads.end && now.Before(g.reads.start.Add(lease.Duration))
}

// Restore takes the table of a peer, which an AskTable effect asked for. The
// log has to confirm it before any call runs.
func (g *Guard) Restore(now time.Time, s message.OwnerSnapshot) {
	if !g.table.Restore(s) {
		return
	}
	g.reset()
	g.install(now, ownership.View{Epoch: g.table.Epoch(), Owners: g.table.Owners()})
}

// askLog adds a read of the log when one is due.
func (g *Guard) askLog(now time.Time) {
	if g.reads.waiting && now.Before(g.reads.asked.Add(readTimeout)) {
		return
	}
	if now.Before(g.reads.asked.Add(g.readPause(now))) {
		return
	}
	g.reads.waiting, g.reads.asked = true, now
	g.effects = append(g.effects, Effect{Kind: ReadLog, From: g.table.Next()})
}

func (g *Guard) readPause(now time.Time) time.Duration {
	switch {
	case !g.reads.end, g.reads.heard > g.table.Epoch(), g.change.pending != nil, g.change.wanted():
		return readUrgent
	case !g.fresh(now):
		return readRetry
	}
	return readInterval
}

// askTable asks the peers for a table that the log no longer holds.
func (g *Guard) askTable(now time.Time) {
	if !g.reads.end || g.table.Known() || g.table.Vacant() {
		return
	}
	if now.Before(g.reads.tableAsk.Add(readInterval)) {
		return
	}
	g.reads.tableAsk = now
	g.effects = append(g.effects, Effect{Kind: AskTable})
}
