package threshold_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/threshold"
)

// Guards against a threshold that is dropped while the server still applies it,
// and against one that persists after the server has stopped reporting it.
func TestEstimateDecays(t *testing.T) {
	start := time.Unix(1000, 0)
	var e threshold.Estimate
	require.True(t, e.Admits(start, 0))
	e.Update(start, 400)
	for _, test := range []struct {
		age   time.Duration
		admit bool // a call of priority 200
	}{
		{0, false},
		{100 * time.Millisecond, false},
		{250 * time.Millisecond, false},
		{310 * time.Millisecond, true},
		{time.Second, true},
	} {
		require.Equal(t, test.admit, e.Admits(start.Add(test.age), 200), test.age)
		require.True(t, e.Admits(start.Add(test.age), 400))
	}
}

// Guards against a burst of calls that all probe whether the server still
// applies the threshold.
func TestProbeRestartsDecay(t *testing.T) {
	start := time.Unix(1000, 0)
	var e threshold.Estimate
	e.Update(start, 400)
	later := start.Add(400 * time.Millisecond)
	require.True(t, e.Admits(later, 200))
	e.MarkProbe(later)
	require.False(t, e.Admits(later.Add(time.Millisecond), 200))
}
