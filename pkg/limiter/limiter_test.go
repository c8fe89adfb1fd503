package limiter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/limiter"
)

var start = time.Unix(1_700_000_000, 0)

// newLimiter returns the limiter of a new server that announces 200 slots.
func newLimiter() *limiter.Limiter {
	l := limiter.New()
	l.SetMaxInFlight(200)
	l.Reset(start)
	return l
}

// saturate keeps the limit in use for n rounds of runs of the given duration.
func saturate(l *limiter.Limiter, now time.Time, n int, runTime time.Duration, result limiter.Result) time.Time {
	for range n {
		for l.Allows() {
			l.Begin(now)
		}
		now = now.Add(runTime)
		for l.Active() > 0 {
			l.End(now, result, runTime)
		}
	}
	return now
}

// Guards against a new server that is overloaded at once, and against one that
// takes long to reach its capacity.
func TestInitialLimitIsLowAndDoubles(t *testing.T) {
	l := newLimiter()
	require.LessOrEqual(t, l.Limit(), 8)
	now := saturate(l, start, 20, 50*time.Millisecond, limiter.Served)
	require.Equal(t, 200, l.Limit())
	require.LessOrEqual(t, now.Sub(start), time.Second)
	l.Reset(now)
	require.LessOrEqual(t, l.Limit(), 8, "a new server starts with the initial limit")
}

// Guards against a limit above the announced slots, and against a maximum in
// flight that ignores runs that wait for other services.
func TestMaxInFlightIncludesWaitingRuns(t *testing.T) {
	l := limiter.New()
	l.SetMaxInFlight(3)
	for range 3 {
		require.True(t, l.Allows())
		l.Begin(start)
		l.Pause(start, 0)
	}
	require.False(t, l.Allows())
	require.Equal(t, 3, l.Limit())
	require.Equal(t, 3, l.InFlight())
	l.EndWaiting()
	require.True(t, l.Allows())
}

// Guards against a limit that stays although the backend server sheds load.
func TestSheddingLowersLimit(t *testing.T) {
	l := newLimiter()
	now := saturate(l, start, 20, 50*time.Millisecond, limiter.Served)
	now = saturate(l, now, 200, time.Millisecond, limiter.Shed)
	require.Less(t, l.Limit(), 100)
	saturate(l, now, 40, 50*time.Millisecond, limiter.Served)
	require.Equal(t, 200, l.Limit(), "the limit recovers")
}

// Guards against canceled runs that are counted as short run times and raise
// the limit.
func TestAbortedRunsDoNotChangeLimit(t *testing.T) {
	l := newLimiter()
	before := l.Limit()
	saturate(l, start, 1000, time.Millisecond, limiter.Aborted)
	require.Equal(t, before, l.Limit())
}

func BenchmarkBeginEnd(b *testing.B) {
	l := limiter.New()
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		l.Begin(now)
		l.End(now, limiter.Served, time.Millisecond)
	}
}
