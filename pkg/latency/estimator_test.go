package latency_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/latency"
)

// Guards against declaring requests overdue after a few samples or at an
// ordinary latency, and against a time far above the ordinary latency.
func TestOverdueAfter(t *testing.T) {
	var e latency.Estimator
	for range 7 {
		e.Add(100 * time.Millisecond)
		require.Zero(t, e.OverdueAfter())
		require.Zero(t, e.Mean())
	}
	for i := range 200 {
		e.Add(time.Duration(80+i%40) * time.Millisecond)
	}
	require.InDelta(t, 100, e.Mean().Milliseconds(), 20)
	require.Greater(t, e.OverdueAfter(), 119*time.Millisecond)
	require.Less(t, e.OverdueAfter(), 250*time.Millisecond)
}

// Guards against a stopping node that takes a request although some answers took longer
// than is left: the longest of the latest answers counts, not only mean and deviation.
func TestTail(t *testing.T) {
	var e latency.Estimator
	require.Zero(t, e.Tail())
	e.Add(time.Second)
	require.Equal(t, time.Second, e.Tail())
	for range 200 {
		e.Add(10 * time.Millisecond)
		require.Equal(t, time.Second, e.Tail())
		if e.OverdueAfter() < 20*time.Millisecond {
			break
		}
	}
	for range 256 {
		e.Add(10 * time.Millisecond)
	}
	require.Less(t, e.Tail(), 20*time.Millisecond)
	require.GreaterOrEqual(t, e.Tail(), 10*time.Millisecond)
}
