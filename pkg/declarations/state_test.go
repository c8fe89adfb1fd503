package declarations_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/declarations"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/stream"
)

// Guards against the second of two operators overwriting a change that it had
// not seen, and against changes of different customers getting into each
// other's way.
func TestConflict(t *testing.T) {
	log, s := newLog(), newState(1)
	follow(start, s, log)
	base := s.Version()
	log.append(start, "a", change(t, base, "anna", []contract.Document{terms("brest", 1)}))
	log.append(start, "b", change(t, base, "bilal", []contract.Document{terms("quimper", 2), terms("brest", 2)}))
	log.append(start, "c", change(t, base, "bilal", []contract.Document{terms("quimper", 3)}))
	follow(start, s, log)
	results := s.Results()
	require.NoError(t, results[0].Err)
	var conflict *declarations.ConflictError
	require.ErrorAs(t, results[1].Err, &conflict)
	require.Equal(t, []any{"a", "anna", "brest", stream.At(1, 0)},
		[]any{conflict.Winner(), conflict.Operator(), conflict.Customer(), conflict.Position()})
	require.NoError(t, results[2].Err)
	require.Equal(t, []int{1, 3}, []int{rateOf(s, "brest"), rateOf(s, "quimper")})
}

// Guards against a record that was sent twice, after its answer was lost,
// being reported as a conflict with itself or taking effect again.
func TestSecondCopyOfRecord(t *testing.T) {
	log, s := newLog(), newState(1)
	follow(start, s, log)
	first := change(t, s.Version(), "anna", []contract.Document{terms("brest", 1)})
	log.append(start, "a", first)
	log.append(start, "a", first)
	follow(start, s, log)
	require.NoError(t, errorOf(t, s, "a"))
	log.append(start, "b", change(t, s.Version(), "anna", nil, "brest"))
	log.append(start, "a", first)
	follow(start, s, log)
	require.Zero(t, rateOf(s, "brest"))
}

// Guards against a record with a fault taking effect or stopping the reader.
func TestFaultyRecords(t *testing.T) {
	log, s := newLog(), newState(1)
	follow(start, s, log)
	base := s.Version()
	bad := terms("brest", 1)
	bad.Calls = nil
	snapshot := &message.Snapshot{Version: stream.At(0, 9), Entries: []message.Entry{{Customer: "brest", Contract: &bad}}}
	log.append(start, "bytes", []byte("{"))
	log.append(start, "empty", encode(t, message.DeclarationRecord{}))
	log.append(start, "nothing", change(t, base, "anna", nil))
	log.append(start, "rule", change(t, base, "anna", []contract.Document{bad}))
	log.append(start, "twice", change(t, base, "anna", []contract.Document{terms("brest", 1)}, "brest"))
	log.append(start, "future", change(t, stream.At(1, 99), "anna", []contract.Document{terms("brest", 1)}))
	log.append(start, "snapshot", encode(t, message.DeclarationRecord{Snapshot: snapshot}))
	log.append(start, "good", change(t, base, "anna", []contract.Document{terms("brest", 5)}))
	follow(start, s, log)
	for _, r := range s.Results()[:7] {
		var want *declarations.RecordError
		require.ErrorAs(t, r.Err, &want, r.Record)
	}
	require.Equal(t, 5, rateOf(s, "brest"))
}

// Guards against a change whose conflicts are forgotten being accepted.
func TestStaleChange(t *testing.T) {
	log, s := newLog(), newState(1)
	follow(start, s, log)
	base := s.Version()
	log.append(start, "del", change(t, base, "anna", nil, "brest"))
	for range 1 << 16 {
		log.append(start, "", nil)
	}
	log.append(start, "old", change(t, base, "anna", []contract.Document{terms("brest", 1)}))
	s.Log(start, log.read(0, 1<<20))
	var want *declarations.StaleError
	require.ErrorAs(t, errorOf(t, s, "old"), &want)
}

// Guards against the log trimming what is in force, and against every reader
// appending it again.
func TestSnapshotBeforeHalfOfRetention(t *testing.T) {
	log, now := newLog(), start
	states := []*declarations.State{newState(1), newState(2), newState(3), newState(4), newState(5)}
	readers := []instance.ID{id(1), id(2), id(3), id(4), id(5)}
	for _, s := range states {
		follow(now, s, log)
	}
	log.append(now, "a", change(t, stream.At(1, -1), "anna", []contract.Document{terms("brest", 7)}))
	appended, last := 0, now
	for range 600 {
		now = now.Add(time.Minute)
		log.trim(now)
		for _, s := range states {
			follow(now, s, log)
			if data, due := s.Snapshot(now, readers); due {
				log.append(now, "snap", data)
				require.Less(t, now.Sub(last), retention/2)
				appended, last = appended+1, now
			}
		}
	}
	require.Less(t, now.Sub(last), retention/2)
	require.LessOrEqual(t, appended, 2+10*4) // 10 h at one in each quarter of an hour, and the first ones
	late := newState(6)
	follow(now, late, log)
	require.Equal(t, 7, rateOf(late, "brest"))
	require.True(t, late.Ready())
}

// Guards against a node that can't find its peers' contracts while the log is
// down.
func TestStartFromPeers(t *testing.T) {
	log, s, fresh := newLog(), newState(1), newState(2)
	log.append(start, "a", change(t, stream.At(1, -1), "anna", []contract.Document{terms("brest", 7)}))
	follow(start, s, log)
	require.False(t, fresh.Ready())
	states := map[instance.ID]*declarations.State{id(1): s, id(2): fresh}
	exchange(start, states, id(2), fresh.Greet(start, id(1), nil))
	require.True(t, fresh.Ready())
	require.Equal(t, 7, rateOf(fresh, "brest"))
	require.Equal(t, s.Version(), fresh.Version())
}

// Guards against a node that starts on a replaced log with no contracts,
// although a peer has them, and against their loss.
func TestNewGeneration(t *testing.T) {
	log, s, fresh := newLog(), newState(1), newState(2)
	log.append(start, "a", change(t, stream.At(1, -1), "anna", []contract.Document{terms("brest", 7)}))
	follow(start, s, log)
	log.replace()
	var digest []declarations.Send
	digest = s.Greet(start, id(2), digest)
	fresh.Receive(start, id(1), digest[0].Control, nil)
	unaware, later := newState(3), start.Add(2*time.Minute)
	follow(start, fresh, log)
	follow(later, s, log)
	follow(start, unaware, log)
	s.Receive(later, id(3), message.Control{DeclarationsUpdate: &message.DeclarationsUpdate{
		Table: message.Snapshot{Version: unaware.Version()},
	}}, nil)
	require.False(t, fresh.Ready())
	require.Zero(t, fresh.Version())
	require.Equal(t, stream.At(1, 0), s.Version())
	data, due := s.Snapshot(later, []instance.ID{id(1)})
	require.True(t, due)
	log.append(start, "late", change(t, stream.At(1, -1), "bilal", []contract.Document{terms("brest", 9)}))
	log.append(start, "s", data)
	log.append(start, "late", change(t, stream.At(1, -1), "bilal", []contract.Document{terms("brest", 9)}))
	for _, n := range []*declarations.State{s, fresh} {
		follow(start, n, log)
		require.True(t, n.Ready())
		require.Equal(t, 7, rateOf(n, "brest"))
		require.Equal(t, stream.At(2, 2), n.Version())
	}
}

// Guards against a log that loses its newest records taking contracts out of
// force.
func TestLogGoesBack(t *testing.T) {
	log, s := newLog(), newState(1)
	log.append(start, "a", change(t, stream.At(1, -1), "anna", []contract.Document{terms("brest", 7)}))
	follow(start, s, log)
	s.Results()
	s.Log(start, stream.Batch{Generation: 1})
	var want *declarations.RegressionError
	require.ErrorAs(t, s.Results()[0].Err, &want)
	require.Equal(t, 7, rateOf(s, "brest"))
}

// Guards against two nodes that silently have different contracts in force.
func TestDivergenceIsReported(t *testing.T) {
	s, other := newState(1), newState(2)
	log, forked := newLog(), newLog()
	log.append(start, "a", change(t, stream.At(1, -1), "anna", []contract.Document{terms("brest", 7)}))
	forked.append(start, "a", change(t, stream.At(1, -1), "anna", []contract.Document{terms("quimper", 7)}))
	follow(start, s, log)
	follow(start, other, forked)
	s.Results()
	s.Receive(start, id(2), other.Greet(start, id(1), nil)[0].Control, nil)
	var want *declarations.DivergenceError
	require.ErrorAs(t, s.Results()[0].Err, &want)
}

// Guards against garbage collection on the path of each call.
func TestContractAllocatesNothing(t *testing.T) {
	log, s := newLog(), newState(1)
	log.append(start, "a", change(t, stream.At(1, -1), "anna", []contract.Document{terms("brest", 7)}))
	follow(start, s, log)
	require.Zero(t, testing.AllocsPerRun(100, func() { s.Contract("brest") }))
}

// Guards against a snapshot of a replaced log overwriting a newer change.
func TestChangeBeforeBase(t *testing.T) {
	old, log, s, fresh := newLog(), newLog(), newState(1), newState(2)
	old.append(start, "a", change(t, stream.At(1, -1), "anna", []contract.Document{terms("brest", 7), terms("quimper", 7)}))
	follow(start, s, old)
	log.replace()
	log.append(start, "b", change(t, stream.At(2, -1), "anna", []contract.Document{terms("brest", 8)}))
	follow(start, s, log)
	data, due := s.Snapshot(start.Add(time.Minute), []instance.ID{id(1)})
	require.True(t, due)
	log.append(start, "s", data)
	follow(start, fresh, log)
	require.Equal(t, []int{8, 7}, []int{rateOf(fresh, "brest"), rateOf(fresh, "quimper")})
}

// Guards against a start from a snapshot where records after it were trimmed.
func TestSnapshotBeforeTrimmedRecords(t *testing.T) {
	log, s := newLog(), newState(1)
	log.append(start, "a", change(t, stream.At(1, -1), "anna", []contract.Document{terms("brest", 7)}))
	follow(start, s, log)
	data, due := s.Snapshot(start, []instance.ID{id(1)})
	require.True(t, due)
	log.append(start, "b", change(t, stream.At(1, 0), "anna", []contract.Document{terms("brest", 8)}))
	log.trim(start.Add(retention))
	log.append(start, "s", data)
	late := newState(2)
	follow(start, late, log)
	require.False(t, late.Ready())
	require.Zero(t, rateOf(late, "brest"))
}

// Guards against a node that takes a part of the contracts for all of them.
func TestUpdateWithGap(t *testing.T) {
	log, s, behind := newLog(), newState(1), newState(2)
	follow(start, behind, log)
	peers := []instance.ID{id(2)}
	for n := range 3 {
		log.append(start, "a", change(t, stream.At(1, int64(n)-1), "anna", []contract.Document{terms(names[n], n+1)}))
		follow(start, s, log)
		sends := s.Tick(start, peers, nil)
		if n < 2 {
			continue // these messages get lost
		}
		answers := behind.Receive(start, id(1), sends[0].Control, nil)
		require.Equal(t, stream.At(1, -1), behind.Version())
		exchange(start, map[instance.ID]*declarations.State{id(1): s, id(2): behind}, id(2), answers)
	}
	require.Equal(t, []int{1, 2, 3}, []int{rateOf(behind, "brest"), rateOf(behind, "quimper"), rateOf(behind, "vannes")})
}
