package membership

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/papayapath/papayapath/pkg/message"
)

// buckets is the number of hashes in a digest. At 7,200 members a bucket
// holds about 112 of them, which fit into two updates.
const buckets = 64

// table holds the latest member at each address, gone ones included.
type table struct {
	members map[netip.AddrPort]*entry
	order   []netip.AddrPort // the keys of members, in an order that does not depend on the map
	hashes  []uint64         // of the members that are not gone, by bucket
}

// entry is what is known of the latest member at an address.
type entry struct {
	report message.Member
	place  int       // index in the order of the table
	goneAt time.Time // when the member was found to be gone
}

func newTable() table {
	return table{members: make(map[netip.AddrPort]*entry), hashes: make([]uint64, buckets)}
}

// put stores a report as the latest at its address.
func (t *table) put(r message.Member, now time.Time) {
	address := r.ID.Address()
	t.drop(address)
	e := &entry{report: r, place: len(t.order)}
	t.order = append(t.order, address)
	if isGone(r.State) {
		e.goneAt = now
	}
	t.members[address] = e
	t.hashes[bucket(address)] ^= sum(r)
}

func (t *table) drop(address netip.AddrPort) {
	old := t.members[address]
	if old == nil {
		return
	}
	t.hashes[bucket(address)] ^= sum(old.report)
	delete(t.members, address)
	last := len(t.order) - 1
	if moved := t.order[last]; moved != address {
		t.order[old.place] = moved
		t.members[moved].place = old.place
	}
	t.order = t.order[:last]
}

// report returns the report on the member at address, with its facts if
// wanted.
func (t *table) report(address netip.AddrPort, facts bool) message.Member {
	r := t.members[address].report
	if !facts {
		r.Metadata = nil
	}
	return r
}

func (e *entry) view() Member {
	m := Member{ID: e.report.ID, State: e.report.State, Draining: e.report.Draining}
	if e.report.Metadata != nil {
		m.Metadata = *e.report.Metadata
	}
	return m
}

func isGone(s message.MemberState) bool { return s >= message.Dead }

func bucket(address netip.AddrPort) int {
	var data [18]byte
	a := address.Addr().As16()
	copy(data[:], a[:])
	binary.BigEndian.PutUint16(data[16:], address.Port())
	return int(xxhash.Sum64(data[:]) % buckets)
}

// sum returns the hash of a report. Suspicion is not a part of it, since it
// soon ends one way or the other, and members that are gone have the hash 0,
// since nodes forget them at different times.
func sum(r message.Member) uint64 {
	if isGone(r.State) {
		return 0
	}
	a := r.ID.Address().Addr().As16()
	data := make([]byte, 0, 32)
	data = append(data, a[:]...)
	data = binary.BigEndian.AppendUint16(data, r.ID.Address().Port())
	data = binary.BigEndian.AppendUint64(data, r.ID.Incarnation())
	data = binary.BigEndian.AppendUint32(data, r.Revision)
	if r.Draining {
		data = append(data, 1)
	}
	return xxhash.Sum64(data)
}
