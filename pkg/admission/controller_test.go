package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/admission"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/priority"
)

const interval = 50 * time.Millisecond

var start = time.Unix(1_700_000_000, 0)

// runInterval simulates one interval, in which one call of every step-th priority
// in [from, to) arrives and the given number of calls start after the given
// queueing time.
func runInterval(c *admission.Controller, now time.Time, from, to, step, started int, queued time.Duration) time.Time {
	for p := from; p < to; p += step {
		c.RecordArrival(priority.Priority(p))
	}
	for range started {
		c.RecordStart(queued)
	}
	now = now.Add(interval)
	c.Adapt(now, 0)
	return now
}

// Guards against a threshold that takes many intervals to match a surge: it has
// to be close to the final value after the second interval of overload.
func TestThresholdMatchesSurgeInTwoIntervals(t *testing.T) {
	c := admission.New()
	now := start
	c.Reset(now)
	for range 20 {
		now = runInterval(c, now, 0, 1024, 8, 128, 0)
	}
	require.Zero(t, c.Threshold())
	for range 2 {
		now = runInterval(c, now, 0, 1024, 2, 128, 100*time.Millisecond)
	}
	// The moving averages contain two intervals of the surge.
	require.InDelta(t, 1024*0.6, float64(c.Threshold()), 128)
	for range 20 {
		now = runInterval(c, now, 0, 1024, 2, 128, 100*time.Millisecond)
	}
	require.InDelta(t, 1024*0.7, float64(c.Threshold()), 64)
}

// Guards against a threshold that stays high after an overload because callers
// that observe it no longer send the calls below it.
func TestThresholdFallsWithinHalfASecond(t *testing.T) {
	c := admission.New()
	now := start
	c.Reset(now)
	for range 40 {
		now = runInterval(c, now, 0, 1024, 1, 128, 100*time.Millisecond)
	}
	require.Greater(t, c.Threshold(), priority.Lowest(importance.High))
	ended := now
	for c.Threshold() > 0 {
		now = runInterval(c, now, int(c.Threshold()), 1024, 16, 10, 0)
	}
	require.LessOrEqual(t, now.Sub(ended), 500*time.Millisecond)
}

// Guards against a threshold that refuses Critical calls although these alone
// do not exceed the capacity.
func TestThresholdSparesCriticalCalls(t *testing.T) {
	c := admission.New()
	now := start
	c.Reset(now)
	for range 100 {
		for p := 768; p < 1024; p += 4 {
			c.RecordArrival(priority.Priority(p))
		}
		now = runInterval(c, now, 0, 768, 1, 100, 100*time.Millisecond)
		require.LessOrEqual(t, c.Threshold(), priority.Lowest(importance.Critical))
	}
}

func BenchmarkArriveStart(b *testing.B) {
	c := admission.New()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c.RecordArrival(priority.Priority(i % 1024))
		c.RecordStart(time.Millisecond)
	}
}

func BenchmarkAdapt(b *testing.B) {
	c := admission.New()
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = runInterval(c, now, 0, 1024, 64, 8, 100*time.Millisecond)
	}
}
