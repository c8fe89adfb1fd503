package ownership_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/ownership"
)

const service = "certify"

func id(host byte, incarnation uint64) instance.ID {
	return instance.New(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 7000), incarnation)
}

var a, b, c, a2 = id(1, 1), id(2, 1), id(3, 1), id(1, 2)

func record(name string, base uint64, baseID string, appender instance.ID, owners ...instance.ID) message.OwnerRecord {
	return message.OwnerRecord{ID: name, Service: service, Base: base, BaseID: baseID, Appender: appender, Owners: owners}
}

// batch returns a read of generation 1 that shows the records from first on.
func batch(first uint64, records ...message.OwnerRecord) ownership.Batch {
	end := first + uint64(len(records))
	b := ownership.Batch{Generation: 1, First: first, From: first, Next: end, End: end}
	for i, r := range records {
		b.Entries = append(b.Entries, ownership.Entry{Offset: first + uint64(i), Record: r})
	}
	return b
}

// Guards against a record that changes the owners without the right to.
func TestRecordCounts(t *testing.T) {
	first := record("1", ownership.Base(1), "", a, a, b)
	e1 := ownership.Epoch(1, 0)
	for _, k := range []struct {
		name   string
		record message.OwnerRecord
		want   bool
	}{
		{"by an owner", record("2", e1, "1", b, a, b, c), true},
		{"by an instance that is no owner", record("2", e1, "1", c, a, b, c), false},
		{"from an older epoch", record("2", ownership.Base(1), "", a, a, b, c), false},
		{"from another table with the same epoch", record("2", e1, "x", a, a, b, c), false},
		{"by a new incarnation for its older one", record("2", e1, "1", a2, a2, b), true},
		{"by a new incarnation that also adds an owner", record("2", e1, "1", a2, a2, b, c), false},
		{"by a new incarnation that also replaces another", record("2", e1, "1", a2, a2, c), false},
		{"by an older incarnation", record("2", e1, "1", id(1, 0), id(1, 0), b), false},
		{"without owners", record("2", e1, "1", a), false},
		{"with two incarnations at one address", record("2", e1, "1", a, a, a2, b), false},
		{"of an operator", message.OwnerRecord{ID: "2", Service: service, Release: true}, true},
	} {
		t.Run(k.name, func(t *testing.T) {
			table := ownership.New(service)
			p := table.Apply(batch(0, first, k.record))
			require.True(t, p.AtEnd)
			require.Equal(t, k.want, table.Epoch() == ownership.Epoch(1, 1))
		})
	}
}

// Guards against a first table by an instance that isn't in it, and against a
// second first table.
func TestFirstTable(t *testing.T) {
	table := ownership.New(service)
	p := table.Apply(batch(0, record("1", ownership.Base(1), "", c, a, b), record("2", ownership.Base(1), "", a, a), record("3", ownership.Base(1), "", b, b)))
	require.Len(t, p.Tables, 1)
	require.Equal(t, "2", table.ID())
}

// Guards against a record that lost against one that is no longer retained
// and is taken for the table in force.
func TestTrimmedLogNeedsProof(t *testing.T) {
	table := ownership.New(service)
	loser := record("loser", 77, "gone", a, a)
	table.Apply(batch(5, loser))
	require.False(t, table.Known())
	require.False(t, table.Vacant())
	again := record("again", 78, "winner", b, a, b)
	next := record("next", ownership.Epoch(1, 6), "again", a, a, b, c)
	table.Apply(batch(5, loser, again, next))
	require.Equal(t, "next", table.ID())
	require.Equal(t, 3, table.Owners().Len())
}

// Guards against a table that goes on after records were missed, lost or made
// in another generation, and against a late read of an older generation.
func TestReset(t *testing.T) {
	first := record("1", ownership.Base(1), "", a, a, b)
	newer := batch(0)
	newer.Generation = 2
	for name, read := range map[string]ownership.Batch{
		"missed": batch(9, record("9", 9, "8", a, a)), "went back": batch(0), "new generation": newer,
	} {
		t.Run(name, func(t *testing.T) {
			table := ownership.New(service)
			table.Apply(batch(0, first))
			require.True(t, table.Apply(read).Reset)
			require.False(t, table.Known())
		})
	}
	table := ownership.New(service)
	table.Apply(newer)
	table.Apply(batch(0, first))
	require.False(t, table.Known())
}

// Guards against a gap in the log that passes for the whole of it.
func TestGap(t *testing.T) {
	table := ownership.New(service)
	table.Apply(batch(0, record("1", ownership.Base(1), "", a, a, b)))
	gap := batch(3, record("2", ownership.Epoch(1, 0), "1", a, a))
	gap.First = 0
	require.False(t, table.Apply(gap).AtEnd)
	require.Equal(t, "1", table.ID())
}

// Guards against a snapshot that skips records, and one that replaces what
// the log has shown.
func TestRestore(t *testing.T) {
	peer := ownership.New(service)
	peer.Apply(batch(0, record("1", ownership.Base(1), "", a, a, b)))
	s, ok := peer.Snapshot()
	require.True(t, ok)
	require.False(t, peer.Restore(s))
	table := ownership.New(service)
	table.Apply(batch(1, message.OwnerRecord{ID: "x", Service: "proofs"}))
	require.True(t, table.Restore(s))
	require.Equal(t, uint64(1), table.Next())
	require.Equal(t, peer.Epoch(), table.Epoch())
	late := batch(2, message.OwnerRecord{ID: "y", Service: "proofs"})
	require.True(t, table.Apply(late).Reset)
}

// Guards against keys that move between owners that stay.
func TestRendezvous(t *testing.T) {
	two, three := ownership.New(service), ownership.New(service)
	two.Apply(batch(0, record("1", ownership.Base(1), "", a, a, b)))
	three.Apply(batch(0, record("1", ownership.Base(1), "", a, b, c, a)))
	moved := 0
	for i := range 3000 {
		key := fmt.Sprint(i)
		before, _, _ := two.Owner(key)
		after, _, ok := three.Owner(key)
		require.True(t, ok)
		require.True(t, after == before || after == c)
		if after == c {
			moved++
		}
	}
	require.InDelta(t, 1000, moved, 150)
}

func BenchmarkOwner(b *testing.B) {
	for _, size := range []int{1, 4, 16, ownership.MaxOwners} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var owners []instance.ID
			for i := range size {
				owners = append(owners, id(byte(i), 1))
			}
			table := ownership.New(service)
			table.Apply(batch(0, record("1", ownership.Base(1), "", owners[0], owners...)))
			b.ReportAllocs()
			for b.Loop() {
				if _, _, ok := table.Owner("0192f0c1-7a55-7f0b-9a3e-2f4f2f0c9a11"); !ok {
					b.Fatal("no owner")
				}
			}
		})
	}
}
