package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/papayapath/papayapath/pkg/detector"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/stream"
)

// Stream is the name of the stream that holds joins and leaves.
const Stream = "members"

// Send is a control message and the node that it goes to.
type Send = message.Send

// Defaults of the options.
const (
	defaultSuspicion = 400 * time.Millisecond
	defaultRepair    = 10 * time.Second
	defaultSearch    = time.Second
	// defaultMemory outlasts a lost contact between regions of an hour.
	defaultMemory = 2 * time.Hour
	defaultFanout = 3
)

// Membership is the table of one node. It must not be used by two goroutines
// at the same time.
type Membership struct {
	self      message.Member
	joined    bool
	random    *rand.Rand
	detector  *detector.Detector
	suspicion time.Duration
	repair    time.Duration
	search    time.Duration
	memory    time.Duration
	fanout    int
	probing   []detector.Option

	table     table
	rumors    rumors
	suspects  map[netip.AddrPort]time.Time // end of the suspicion
	contacts  []netip.AddrPort
	changes   []Change
	actions   []detector.Action
	repairDue time.Time
	searchDue time.Time
	forgetDue time.Time
}

// Option sets a property of a Membership.
type Option func(*Membership)

// WithSuspicion sets how long a suspected member has to refute (default
// 400 ms).
func WithSuspicion(d time.Duration) Option { return func(m *Membership) { m.suspicion = d } }

// WithRepair sets the time between two digests (default 10 s).
func WithRepair(d time.Duration) Option { return func(m *Membership) { m.repair = d } }

// WithSearch sets the time between two probes of an address where a member
// was or may be (default 1 s).
func WithSearch(d time.Duration) Option { return func(m *Membership) { m.search = d } }

// WithMemory sets how long members that died or left are remembered and
// searched for (default 2 h).
func WithMemory(d time.Duration) Option { return func(m *Membership) { m.memory = d } }

// WithFanout sets to how many members a change is sent at once (default 3).
func WithFanout(n int) Option { return func(m *Membership) { m.fanout = n } }

// WithContacts sets addresses at which members may be found.
func WithContacts(addresses ...netip.AddrPort) Option {
	return func(m *Membership) { m.contacts = append(m.contacts, addresses...) }
}

// WithDetector sets options of the failure detector.
func WithDetector(options ...detector.Option) Option {
	return func(m *Membership) { m.probing = append(m.probing, options...) }
}

// New returns the table of the node self, which knows no other member.
func New(self instance.ID, random *rand.Rand, options ...Option) *Membership {
	m := &Membership{
		self: message.Member{ID: self}, random: random,
		suspicion: defaultSuspicion, repair: defaultRepair, search: defaultSearch,
		memory: defaultMemory, fanout: defaultFanout,
		table:    newTable(),
		rumors:   newRumors(),
		suspects: make(map[netip.AddrPort]time.Time),
	}
	for _, o := range options {
		o(m)
	}
	m.detector = detector.New(self, random, m.probing...)
	return m
}

// Join makes the node a member with the given facts. The data of Record must
// be appended to the stream members afterwards.
func (m *Membership) Join(_ time.Time, facts message.Metadata) {
	m.self.Metadata = &facts
	m.joined = true
}

// Record returns the data of the record that tells of this node's join or,
// after Leave, of its departure.
func (m *Membership) Record() ([]byte, error) {
	e := message.MemberRecord{ID: m.self.ID, Left: m.self.State == message.Left}
	if !e.Left {
		e.Metadata = m.self.Metadata
	}
	return message.Encode(e)
}

// Drain spreads that the node takes no new work.
func (m *Membership) Drain(now time.Time, out []Send) []Send {
	if m.self.Draining {
		return out
	}
	m.self.Draining = true
	m.self.Revision++
	return m.announce(now, out)
}

// Leave spreads that the node is gone. Its Membership answers probes no more.
func (m *Membership) Leave(now time.Time, out []Send) []Send {
	m.self.State = message.Left
	return m.announce(now, out)
}

// Log applies records of the stream members. A record that can't be read is
// skipped.
func (m *Membership) Log(now time.Time, records []stream.Record) {
	for _, r := range records {
		e, err := message.Decode[message.MemberRecord](r.Data)
		if err != nil || !isEnrolment(e) {
			continue
		}
		report := message.Member{ID: e.ID, Metadata: e.Metadata}
		if e.Left {
			report.State = message.Left
		}
		if m.apply(now, report) {
			m.rumors.add(now, m.table.report(e.ID.Address(), !e.Left), false)
		}
	}
}

// Changes returns what happened since the last call.
func (m *Membership) Changes() []Change {
	c := m.changes
	m.changes = nil
	return c
}

// Peers returns the members that are not known to be gone, without this node.
// The caller must not change the slice or keep it.
func (m *Membership) Peers() []instance.ID { return m.detector.Targets() }

// Partners returns the members that this node probes itself. To them it has
// connections, which makes them the cheapest to send to. The caller must not
// change the slice or keep it.
func (m *Membership) Partners() []instance.ID { return m.detector.Partners() }

// Members calls yield for each member that is not known to be gone, without
// this node, until yield returns false.
func (m *Membership) Members(yield func(Member) bool) {
	for _, id := range m.detector.Targets() {
		if !yield(m.table.members[id.Address()].view()) {
			return
		}
	}
}

// Member returns what is known of id, and false if it is not known at all.
func (m *Membership) Member(id instance.ID) (Member, bool) {
	e := m.table.members[id.Address()]
	if e == nil || e.report.ID != id {
		return Member{}, false
	}
	return e.view(), true
}

// Next returns the time by which Tick should be called again.
func (m *Membership) Next() time.Time {
	next := m.detector.Next()
	for _, end := range m.suspects {
		if end.Before(next) {
			next = end
		}
	}
	return next
}

func isEnrolment(e message.MemberRecord) bool {
	return e.ID.Address().IsValid() && (e.Left || e.Metadata != nil)
}
