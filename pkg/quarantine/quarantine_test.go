package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/quarantine"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	poison = quarantine.Request{Customer: "brest", Content: 1}
	other  = quarantine.Request{Customer: "quimper", Content: 1}
)

// Guards against running a request again that has crashed three servers.
func TestRefusedAfterThreeCrashes(t *testing.T) {
	q := quarantine.New()
	require.Equal(t, quarantine.Allow, q.Check(start, poison))
	q.RecordCrash(start, 9, []quarantine.Request{poison, other})
	require.Equal(t, quarantine.Isolate, q.Check(start, poison))
	for i := range 2 {
		q.RecordCrash(start, uint64(i), []quarantine.Request{poison})
	}
	require.Equal(t, quarantine.Refuse, q.Check(start.Add(10*time.Minute-1), poison))
	require.Equal(t, quarantine.Allow, q.Check(start.Add(10*time.Minute), poison))
}

// Guards against a harmless request that stays suspected after it has
// completed, or that is refused because it was in flight at the crashes of
// another request.
func TestInnocentRequestsAreCleared(t *testing.T) {
	q := quarantine.New()
	for i := range 5 {
		q.RecordCrash(start, uint64(i), []quarantine.Request{poison, other})
	}
	require.Equal(t, quarantine.Isolate, q.Check(start, other))
	q.Complete(start, other)
	require.Equal(t, quarantine.Allow, q.Check(start, other))
}

// Guards against isolating frequent requests after each crash, and against
// exempting a faulty request repeatedly because it has completed before.
func TestCompletedRequestIsExemptOnce(t *testing.T) {
	q := quarantine.New()
	q.Complete(start, other)
	q.RecordCrash(start, 1, []quarantine.Request{poison, other})
	require.Equal(t, quarantine.Isolate, q.Check(start, poison))
	require.Equal(t, quarantine.Allow, q.Check(start, other))
	q.RecordCrash(start, 2, []quarantine.Request{poison, other})
	require.Equal(t, quarantine.Isolate, q.Check(start, other))
}

// gossip sends the pending changes of one node to another.
func gossip(from, to *quarantine.Quarantine) {
	for _, s := range from.DrainChanges(start, nil) {
		to.Merge(start, s)
	}
}

// Guards against a suspect that crashes one server per node, and against a
// clearance that does not spread or is reverted by a delayed message.
func TestSuspicionAndClearanceSpread(t *testing.T) {
	a, b := quarantine.New(), quarantine.New()
	a.RecordCrash(start, 1, []quarantine.Request{poison, other})
	stale := a.Snapshot(start, nil)
	gossip(a, b)
	require.Equal(t, quarantine.Isolate, b.Check(start, poison))
	b.RecordCrash(start, 2, []quarantine.Request{poison})
	b.RecordCrash(start, 3, []quarantine.Request{poison})
	b.Complete(start, other)
	gossip(b, a)
	require.Equal(t, quarantine.Refuse, a.Check(start, poison))
	require.Equal(t, quarantine.Allow, a.Check(start, other))
	for _, s := range stale {
		a.Merge(start, s)
	}
	require.Equal(t, quarantine.Refuse, a.Check(start, poison))
	require.Equal(t, quarantine.Allow, a.Check(start, other))
	require.Empty(t, a.DrainChanges(start, nil), "merged records are not sent again")
}

// Guards against unbounded growth of the table, and against evicting a
// refused request that keeps arriving.
func TestTableIsBounded(t *testing.T) {
	q := quarantine.New(quarantine.WithTableSize(100))
	for i := range 3 {
		q.RecordCrash(start, uint64(i), []quarantine.Request{poison})
	}
	for i := range 1000 {
		q.RecordCrash(start, uint64(i), []quarantine.Request{other, {Customer: fmt.Sprint(i)}})
		q.Check(start, poison)
	}
	require.LessOrEqual(t, q.Len(start), 100)
	require.LessOrEqual(t, len(q.DrainChanges(start, nil)), 100)
	require.Equal(t, quarantine.Refuse, q.Check(start, poison))
}

// Guards against a peer that extends a refusal beyond the refusal period.
func TestMergeLimitsRefusalPeriod(t *testing.T) {
	q := quarantine.New()
	s := message.Suspicion{Customer: poison.Customer, Content: poison.Content}
	for i := range uint64(9) {
		s.Crashes = append(s.Crashes, message.Crash{ID: i, Solo: true, TTL: 100 * time.Hour})
	}
	q.Merge(start, s)
	require.Equal(t, quarantine.Refuse, q.Check(start, poison))
	require.Equal(t, quarantine.Allow, q.Check(start.Add(10*time.Minute), poison))
}

func BenchmarkCheckComplete(b *testing.B) {
	for _, size := range []int{0, 256, 4096} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			q := quarantine.New()
			for i := range size {
				q.RecordCrash(start, uint64(i), []quarantine.Request{{Customer: "brest", Content: uint64(i)}})
			}
			b.ReportAllocs()
			for b.Loop() {
				q.Check(start, other)
				q.Complete(start, other)
			}
		})
	}
}

// Guards against a request that crashes one server after another while
// others run beside it, and against refusing harmless requests in flight at
// those crashes.
func TestWithoutIsolation(t *testing.T) {
	q := quarantine.New(quarantine.WithoutIsolation())
	now := time.Unix(1000, 0)
	culprit, innocent := quarantine.Request{Content: 1}, quarantine.Request{Content: 2}
	for i := range 3 {
		require.Equal(t, quarantine.Allow, q.Check(now, culprit), i)
		q.RecordCrash(now, uint64(i), []quarantine.Request{culprit, innocent})
		q.Complete(now, innocent)
	}
	require.Equal(t, quarantine.Refuse, q.Check(now, culprit))
	require.Equal(t, quarantine.Allow, q.Check(now, innocent))
	other := quarantine.New(quarantine.WithoutIsolation())
	for _, s := range q.DrainChanges(now, nil) {
		other.Merge(now, s)
	}
	require.Equal(t, quarantine.Refuse, other.Check(now, culprit))
	require.Equal(t, quarantine.Allow, other.Check(now, innocent))
}

// Guards against refusing a frequent request that was in flight when the servers of
// several nodes crashed at once, since nothing is left on which it could complete.
func TestFrequentRequestAtCrashesOfAllServers(t *testing.T) {
	target := quarantine.New(quarantine.WithoutIsolation())
	for id := range uint64(4) {
		n := quarantine.New(quarantine.WithoutIsolation())
		n.Complete(start, other)
		n.RecordCrash(start, id, []quarantine.Request{poison, other})
		gossip(n, target)
	}
	require.Equal(t, quarantine.Refuse, target.Check(start, poison))
	require.Equal(t, quarantine.Allow, target.Check(start, other))
	n := quarantine.New(quarantine.WithoutIsolation())
	n.Complete(start, poison)
	for id := range uint64(4) {
		n.RecordCrash(start, 10+id, []quarantine.Request{poison, other})
	}
	require.Equal(t, quarantine.Refuse, n.Check(start, poison), "exempt once")
}
