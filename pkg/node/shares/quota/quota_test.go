package quota_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/node/shares/quota"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func id(i int) instance.ID {
	return instance.New(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000), 1)
}

// admitted counts the requests that pass when one arrives each millisecond.
func admitted(q *quota.Quota, from time.Time, d time.Duration) (n int) {
	for t := range int(d / time.Millisecond) {
		if q.Allow(from.Add(time.Duration(t) * time.Millisecond)) {
			n++
		}
	}
	return n
}

// Guards against a node that keeps its last share for ever, or drops to
// nothing, when all allocators fall silent.
func TestShareDecaysToEvenSplit(t *testing.T) {
	q := quota.New(start, "quimper", 100, 10)
	q.Share(start, id(1), message.Share{Customer: "quimper", Rate: 80, Nodes: 5})
	for _, test := range []struct {
		at   time.Duration
		want float64
	}{{time.Second, 80}, {2 * time.Second, 80}, {3500 * time.Millisecond, 50}, {5 * time.Second, 20}, {time.Minute, 20}} {
		q.Allow(start.Add(test.at))
		require.InDelta(t, test.want, q.Current(), 0.1, test.at)
	}
}

// Guards against a restarted allocator, which knows few nodes, handing out the
// whole rate.
func TestSmallestFreshShareCounts(t *testing.T) {
	q := quota.New(start, "quimper", 100, 10)
	for i, r := range []float64{30, 100, 32} {
		q.Share(start, id(i), message.Share{Rate: r, Nodes: 3})
	}
	require.InDelta(t, 30, q.Current(), 0.1)
	q.Share(start, id(0), message.Share{Rate: 40, Nodes: 3})
	require.InDelta(t, 32, q.Current(), 0.1)
}

// Guards against a node that admits above its share, or below it.
func TestBucketFollowsShare(t *testing.T) {
	q := quota.New(start, "quimper", 1000, 20)
	q.Share(start, id(1), message.Share{Rate: 100, Nodes: 5})
	require.InDelta(t, 100+20/3, admitted(q, start, time.Second), 2, "share and a third of the burst")
	q.Share(start.Add(time.Second), id(1), message.Share{Rate: 500, Nodes: 5})
	require.InDelta(t, 500, admitted(q, start.Add(time.Second), time.Second), 5)
	q.Change(start.Add(2*time.Second), 200, 4)
	require.InDelta(t, 100, q.Current(), 0.1, "a changed contract counts at once")
}

// Guards against a customer without a contracted rate that is not held back.
func TestNoRateAdmitsNothing(t *testing.T) {
	require.Zero(t, admitted(quota.New(start, "quimper", 0, 0), start, time.Second))
}

// Guards against a report that comes late when a customer becomes active, and
// against reports for ever after it has gone.
func TestReports(t *testing.T) {
	q := quota.New(start, "quimper", 1000, 20)
	_, ok := q.Report(start.Add(time.Second))
	require.False(t, ok, "no request yet")
	from := start.Add(10 * time.Second)
	admitted(q, from, 200*time.Millisecond)
	m, ok := q.Report(from.Add(200 * time.Millisecond))
	require.True(t, ok)
	require.InDelta(t, 1000, m.Rate, 10, "refused requests count as demand")
	_, ok = q.Report(from.Add(300 * time.Millisecond))
	require.False(t, ok, "one report a second")
	reports, last := 0, 0.0
	for s := range 30 {
		if m, ok := q.Report(from.Add(time.Duration(s+2) * time.Second)); ok {
			reports++
			last = m.Rate
		}
	}
	require.Less(t, reports, 5)
	require.Zero(t, last)
	require.True(t, q.Idle(from.Add(30*time.Second)))
}

// Guards against an allocation or a slow step for each request.
func TestAllowDoesNotAllocate(t *testing.T) {
	q := quota.New(start, "quimper", 1000, 20)
	require.Zero(t, testing.AllocsPerRun(1000, func() { q.Allow(start) }))
}

func BenchmarkAllow(b *testing.B) {
	q := quota.New(start, "quimper", 1000, 20)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		q.Allow(now)
	}
}
