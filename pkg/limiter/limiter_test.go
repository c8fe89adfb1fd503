package limiter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/limiter"
)

var start = time.Unix(1_700_000_000, 0)

// coldLimiter returns the limiter of a server that announces 200 slots.
func coldLimiter() *limiter.Limiter {
	l := limiter.New()
	l.SetMaxInFlight(200)
	l.Reset(start)
	return l
}

// rounds keeps the limit in use for n rounds of runs of the given time.
func rounds(l *limiter.Limiter, now time.Time, n int, run time.Duration, result limiter.Result) time.Time {
	for range n {
		for l.Allows() {
			l.Begin(now)
		}
		now = now.Add(run)
		for l.Active() > 0 {
			l.End(now, result, run)
		}
	}
	return now
}

// Guards against a cold server that is flooded, and against one that takes
// long to come into use.
func TestColdLimitIsLowAndDoubles(t *testing.T) {
	l := coldLimiter()
	require.LessOrEqual(t, l.Limit(), 8)
	now := rounds(l, start, 20, 50*time.Millisecond, limiter.Served)
	require.Equal(t, 200, l.Limit())
	require.LessOrEqual(t, now.Sub(start), time.Second)
	l.Reset(now)
	require.LessOrEqual(t, l.Limit(), 8, "a new server is cold again")
}

// Guards against a limit above the announced slots, and against a ceiling that
// ignores runs that wait for other services.
func TestCeilingHoldsForWaitingRuns(t *testing.T) {
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

// Guards against a backend server that sheds load and is offered no less.
func TestOwnRefusalsLowerTheLimit(t *testing.T) {
	l := coldLimiter()
	now := rounds(l, start, 20, 50*time.Millisecond, limiter.Served)
	now = rounds(l, now, 200, time.Millisecond, limiter.Shed)
	require.Less(t, l.Limit(), 100)
	rounds(l, now, 40, 50*time.Millisecond, limiter.Served)
	require.Equal(t, 200, l.Limit(), "the limit comes back")
}

// Guards against a limit that cancelled runs make look like a fast server.
func TestAbortedRunsTeachNothing(t *testing.T) {
	l := coldLimiter()
	before := l.Limit()
	rounds(l, start, 1000, time.Millisecond, limiter.Aborted)
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
