package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/papayapath/papayapath/pkg/detector"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
)

// maxRepair bounds the reports in the answer to a digest.
const maxRepair = 128

// forgetInterval is the time between two searches for members to forget.
const forgetInterval = time.Minute

// Tick appends the messages that are due at now to out.
func (m *Membership) Tick(now time.Time, out []Send) []Send {
	if !m.joined || m.self.State == message.Left {
		return out
	}
	actions, paused := m.detector.Tick(now, m.actions[:0])
	m.extend(paused)
	out = m.perform(now, actions, out)
	m.conclude(now)
	out = m.seek(now, out)
	out = m.summarize(now, out)
	m.forget(now)
	return m.push(out)
}

// Receive handles a control message of a peer. Messages for others are
// ignored.
func (m *Membership) Receive(now time.Time, from instance.ID, c message.Control, out []Send) []Send {
	if !m.joined || m.self.State == message.Left || from.Address() == m.self.ID.Address() {
		// After a restart the node searches for its older incarnation at its
		// own address, and would answer itself without end.
		return out
	}
	known := m.isPeer(from)
	m.hear(now, reports(c))
	m.actions = m.detector.Receive(now, from, c, m.actions[:0])
	out = m.perform(now, m.actions, out)
	switch {
	case c.MemberDigest != nil:
		out = m.compare(from, c.MemberDigest, out)
	case c.MemberUpdate != nil && c.MemberUpdate.More:
		out = append(out, m.digest(from, false))
	}
	if !known && c.MemberDigest == nil {
		// The digest brings the facts of a node that is not known yet, and the
		// members that only it may know. It does not answer another digest:
		// two nodes that don't count each other as members would exchange
		// digests without end.
		out = append(out, m.digest(from, false))
	}
	return m.push(out)
}

// hear applies reports and passes on those that were new.
func (m *Membership) hear(now time.Time, reports []message.Member) {
	for _, r := range reports {
		if m.apply(now, r) {
			m.rumors.add(now, m.table.report(r.ID.Address(), r.Metadata != nil), true)
		}
	}
}

// perform turns actions of the detector into messages.
func (m *Membership) perform(now time.Time, actions []detector.Action, out []Send) []Send {
	m.actions = actions
	for _, a := range actions {
		switch a.Kind {
		case detector.Probe:
			out = append(out, m.probe(now, a.To, a.Seq))
		case detector.Ack:
			ack := &message.Ack{Seq: a.Seq, Target: a.Target, Members: m.carry(now, a.To)}
			out = append(out, Send{To: a.To, Control: message.Control{Ack: ack}})
		case detector.Request:
			request := &message.ProbeRequest{Seq: a.Seq, Target: a.Target, Members: m.carry(now, a.To)}
			out = append(out, Send{To: a.To, Control: message.Control{ProbeRequest: request}})
		case detector.Fail:
			out = m.suspect(now, a.Target, out)
		}
	}
	return out
}

func (m *Membership) probe(now time.Time, to instance.ID, seq uint64) Send {
	p := &message.Probe{Seq: seq, Target: to, Members: m.carry(now, to)}
	return Send{To: to, Control: message.Control{Probe: p}}
}

// carry returns the reports that go along with a message to a node. One that
// is not known as a member also learns of this node and, if it was taken for
// dead, of that, so that it can refute.
func (m *Membership) carry(now time.Time, to instance.ID) []message.Member {
	members := m.rumors.pick(now, len(m.detector.Targets())+1)
	if m.isPeer(to) {
		return members
	}
	members = append(members, m.own(true))
	if e := m.table.members[to.Address()]; e != nil {
		members = append(members, m.table.report(to.Address(), false))
	}
	return members
}

// push sends new reports to some members at once.
func (m *Membership) push(out []Send) []Send {
	for _, part := range m.rumors.take() {
		out = m.spread(part, out)
	}
	return out
}

func (m *Membership) spread(reports []message.Member, out []Send) []Send {
	update := &message.MemberUpdate{Members: reports}
	peers := m.detector.Targets()
	for range min(m.fanout, len(peers)) {
		to := peers[m.random.IntN(len(peers))]
		out = append(out, Send{To: to, Control: message.Control{MemberUpdate: update}})
	}
	return out
}

// announce spreads a change of this node itself.
func (m *Membership) announce(now time.Time, out []Send) []Send {
	m.rumors.add(now, m.own(false), true)
	return m.push(out)
}

// seek probes an address where a member was or may be.
func (m *Membership) seek(now time.Time, out []Send) []Send {
	if now.Before(m.searchDue) {
		return out
	}
	m.searchDue = now.Add(m.search)
	if address, ok := m.missing(); ok {
		out = append(out, m.probe(now, instance.New(address, 0), 0))
	}
	return out
}

// missing returns a random address of those where no member is known now.
func (m *Membership) missing() (netip.AddrPort, bool) {
	var pick netip.AddrPort
	count := 0
	consider := func(a netip.AddrPort) {
		count++
		if m.random.IntN(count) == 0 {
			pick = a
		}
	}
	for _, a := range m.contacts {
		if m.table.members[a] == nil && a != m.self.ID.Address() {
			consider(a)
		}
	}
	for _, a := range m.table.order {
		if isGone(m.table.members[a].report.State) {
			consider(a)
		}
	}
	return pick, count > 0
}

// summarize sends a digest to a random one of the members that this node
// probes, to which it has connections.
func (m *Membership) summarize(now time.Time, out []Send) []Send {
	peers := m.detector.Partners()
	if now.Before(m.repairDue) || len(peers) == 0 {
		return out
	}
	m.repairDue = now.Add(m.repair)
	return append(out, m.digest(peers[m.random.IntN(len(peers))], false))
}

func (m *Membership) digest(to instance.ID, reply bool) Send {
	hashes := append([]uint64(nil), m.table.hashes...)
	hashes[bucket(m.self.ID.Address())] ^= sum(m.self)
	d := &message.MemberDigest{Hashes: hashes, Reply: reply}
	return Send{To: to, Control: message.Control{MemberDigest: d}}
}

// compare answers a digest with the reports in the buckets that differ.
func (m *Membership) compare(from instance.ID, d *message.MemberDigest, out []Send) []Send {
	own := m.digest(from, true)
	differ, found := difference(own.Control.MemberDigest.Hashes, d.Hashes)
	if !found {
		return out
	}
	update := &message.MemberUpdate{}
	if differ[bucket(m.self.ID.Address())] {
		update.Members = append(update.Members, m.own(true))
	}
	start := m.random.IntN(max(len(m.table.order), 1))
	for i := range m.table.order {
		address := m.table.order[(start+i)%len(m.table.order)]
		if !differ[bucket(address)] {
			continue
		}
		if len(update.Members) == maxRepair {
			update.More = true
			break
		}
		update.Members = append(update.Members, m.table.report(address, true))
	}
	out = append(out, Send{To: from, Control: message.Control{MemberUpdate: update}})
	if d.Reply {
		return out
	}
	return append(out, own)
}

// difference returns the buckets in which two digests differ, and whether there
// is one.
func difference(a, b []uint64) (differ [buckets]bool, found bool) {
	if len(b) != buckets {
		return differ, false
	}
	for i := range buckets {
		differ[i] = a[i] != b[i]
		found = found || differ[i]
	}
	return differ, found
}

// extend gives suspected members the time that this node was paused, since
// their refutations may still be waiting to be read.
func (m *Membership) extend(paused time.Duration) {
	if paused == 0 {
		return
	}
	for address, end := range m.suspects {
		m.suspects[address] = end.Add(paused)
	}
}

func (m *Membership) forget(now time.Time) {
	if now.Before(m.forgetDue) {
		return
	}
	m.forgetDue = now.Add(forgetInterval)
	for _, address := range slices.Clone(m.table.order) {
		e := m.table.members[address]
		if isGone(e.report.State) && now.Sub(e.goneAt) >= m.memory {
			m.table.drop(address)
		}
	}
}

func (m *Membership) isPeer(id instance.ID) bool {
	e := m.table.members[id.Address()]
	return e != nil && e.report.ID == id && !isGone(e.report.State)
}

// own returns the report of this node on itself.
func (m *Membership) own(facts bool) message.Member {
	r := m.self
	if !facts {
		r.Metadata = nil
	}
	return r
}

// reports returns the reports that a message carries.
func reports(c message.Control) []message.Member {
	switch {
	case c.Probe != nil:
		return c.Probe.Members
	case c.Ack != nil:
		return c.Ack.Members
	case c.ProbeRequest != nil:
		return c.ProbeRequest.Members
	case c.MemberUpdate != nil:
		return c.MemberUpdate.Members
	}
	return nil
}
