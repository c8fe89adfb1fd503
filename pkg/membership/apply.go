package membership

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
)

// apply takes over a report if it is newer than the table, and reports whether
// it was.
func (m *Membership) apply(now time.Time, r message.Member) bool {
	if !r.ID.Address().IsValid() || r.ID.Incarnation() == 0 {
		return false
	}
	if r.ID.Address() == m.self.ID.Address() {
		m.refute(now, r)
		return false
	}
	old := m.table.members[r.ID.Address()]
	switch {
	case old == nil:
		return m.find(now, r)
	case r.ID == old.report.ID:
		return m.advance(now, old.report, r)
	case r.ID.Replaces(old.report.ID):
		return m.replace(now, old.report, r)
	}
	return false
}

// refute contradicts a report that this node is suspected or dead.
func (m *Membership) refute(now time.Time, r message.Member) {
	if r.ID != m.self.ID || r.Revision < m.self.Revision || m.self.State == message.Left {
		return
	}
	if r.State == message.Alive && r.Revision == m.self.Revision {
		return
	}
	m.self.Revision = r.Revision + 1
	m.rumors.add(now, m.own(false), true)
}

// find adds a member at an unused address. A report without facts is of no
// use; the next digest brings them.
func (m *Membership) find(now time.Time, r message.Member) bool {
	if r.Metadata == nil || isGone(r.State) {
		return false
	}
	m.table.put(r, now)
	m.detector.Add(r.ID)
	m.tell(Joined, r)
	m.watch(now, message.Member{}, r)
	return true
}

// replace notes that a newer instance runs at the address of an older one.
func (m *Membership) replace(now time.Time, old, r message.Member) bool {
	if r.Metadata == nil && !isGone(r.State) {
		return false
	}
	if !isGone(old.State) {
		m.bury(Died, old)
	}
	if isGone(r.State) {
		m.table.put(r, now)
		return true
	}
	return m.find(now, r)
}

// advance takes over a newer report on a known member.
func (m *Membership) advance(now time.Time, old, r message.Member) bool {
	if old.State == message.Left || !isNewer(r, old) {
		return false
	}
	r.Metadata = old.Metadata
	r.Draining = r.Draining || old.Draining
	m.table.put(r, now)
	switch {
	case isGone(r.State) && !isGone(old.State):
		m.bury(kindOfEnd(r.State), r)
	case !isGone(r.State) && isGone(old.State):
		m.detector.Add(r.ID)
		m.tell(Joined, r)
		m.watch(now, message.Member{}, r)
	case !isGone(r.State):
		m.watch(now, old, r)
	}
	return true
}

// watch tells of suspicion and draining that r reports and old did not.
func (m *Membership) watch(now time.Time, old, r message.Member) {
	address := r.ID.Address()
	if r.Draining && !old.Draining {
		m.tell(Draining, r)
	}
	switch {
	case r.State == message.Suspected && old.State != message.Suspected:
		m.suspects[address] = now.Add(m.detector.Stretch(m.suspicion))
		m.tell(Suspected, r)
	case r.State == message.Alive && old.State == message.Suspected:
		delete(m.suspects, address)
		m.tell(Restored, r)
	}
}

func (m *Membership) bury(kind Kind, r message.Member) {
	m.detector.Remove(r.ID)
	delete(m.suspects, r.ID.Address())
	m.tell(kind, r)
}

func (m *Membership) tell(kind Kind, r message.Member) {
	c := Change{Kind: kind, ID: r.ID}
	if r.Metadata != nil {
		c.Metadata = *r.Metadata
	}
	m.changes = append(m.changes, c)
}

// suspect marks a member that failed to answer.
func (m *Membership) suspect(now time.Time, id instance.ID, out []Send) []Send {
	e := m.table.members[id.Address()]
	if e == nil || e.report.ID != id || e.report.State != message.Alive {
		return out
	}
	r := e.report
	r.State = message.Suspected
	m.apply(now, r)
	r.Metadata = nil
	m.rumors.add(now, r, true)
	// The suspected member is told first, so that it can refute in time.
	return append(out, Send{To: id, Control: message.Control{MemberUpdate: &message.MemberUpdate{Members: []message.Member{r}}}})
}

// conclude takes members for dead whose suspicion has not been refuted.
func (m *Membership) conclude(now time.Time) {
	for _, address := range slices.SortedFunc(maps.Keys(m.suspects), netip.AddrPort.Compare) {
		if now.Before(m.suspects[address]) {
			continue
		}
		r := m.table.report(address, true)
		r.State = message.Dead
		m.apply(now, r)
		m.rumors.add(now, m.table.report(address, false), true)
	}
}

func isNewer(r, old message.Member) bool {
	if r.State == message.Left {
		return true
	}
	return r.Revision > old.Revision || (r.Revision == old.Revision && r.State > old.State)
}

func kindOfEnd(s message.MemberState) Kind {
	if s == message.Left {
		return Departed
	}
	return Died
}
