package histogram_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/histogram"
)

var start = time.Date(2026, time.January, 5, 8, 0, 0, 0, time.UTC)

// Guards against a duration that is counted in a wrong bucket.
func TestQuantileOfOneDuration(t *testing.T) {
	for _, d := range []time.Duration{-time.Second, 0, time.Microsecond, 7 * time.Microsecond, 8 * time.Microsecond, 15 * time.Microsecond, 16 * time.Microsecond, 100 * time.Microsecond, time.Millisecond, 1023 * time.Millisecond, time.Minute, 10 * time.Hour} {
		var h histogram.Histogram
		require.Zero(t, h.Quantile(0.5))
		h.Add(start, d)
		require.GreaterOrEqual(t, h.Quantile(0.5), d)
		require.LessOrEqual(t, h.Quantile(0.5), max(0, d+d/8))
		require.Equal(t, uint64(1), h.Count())
	}
	var h histogram.Histogram
	h.Add(start, 1<<62)
	require.Greater(t, h.Quantile(1), time.Hour)
}

// Guards against quantiles that are off, and against old durations that hide the
// present ones.
func TestQuantilesFollowTheLatestMinutes(t *testing.T) {
	var h histogram.Histogram
	for i := range 1000 {
		h.Add(start, time.Duration(i+1)*time.Millisecond)
	}
	for fraction, want := range map[float64]time.Duration{0.5: 500 * time.Millisecond, 0.9: 900 * time.Millisecond, 0.99: 990 * time.Millisecond} {
		require.InDelta(t, want, h.Quantile(fraction), float64(want)/8)
	}
	for minute := range 12 {
		for range 100 {
			h.Add(start.Add(time.Duration(minute+1)*61*time.Second), time.Second)
		}
	}
	require.InDelta(t, time.Second, h.Quantile(0.1), float64(time.Second)/8)
	require.Equal(t, uint64(2200), h.Count())
}
