package retryafter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/retryafter"
)

// browse is a request with a deadline of 5 s and an objective of 1.2 s that was
// refused for want of a place as soon as it arrived.
var browse = retryafter.Rejection{
	Remaining: 5 * time.Second, Objective: 1200 * time.Millisecond, Latency: 400 * time.Millisecond, NoCapacity: true,
}

// Guards against clients that return, though a place was free before, when
// their answer can only be late.
func TestReturnLeavesTimeForTheObjective(t *testing.T) {
	for _, random := range []float64{0, 0.5, 0.999} {
		wait := browse.Delay(random)
		require.GreaterOrEqual(t, wait, 100*time.Millisecond)
		require.LessOrEqual(t, wait+browse.Latency, browse.Objective)
	}
}

// Guards against clients that return together.
func TestReturnsAreSpread(t *testing.T) {
	for _, r := range []retryafter.Rejection{browse, {Remaining: 5 * time.Second}, {Remaining: 600 * time.Millisecond}} {
		require.Greater(t, r.Delay(0.999), 3*r.Delay(0)/2)
	}
}

// Guards against a time to return beyond the third of the time left that
// clients wait, and against an early return where the objective cannot be met.
func TestReturnWhenTheObjectiveCannotBeMet(t *testing.T) {
	for name, r := range map[string]retryafter.Rejection{
		"no objective":          {Remaining: 5 * time.Second},
		"objective has passed":  {Remaining: 5 * time.Second, Objective: -time.Second, Latency: 400 * time.Millisecond},
		"objective is too near": {Remaining: 5 * time.Second, Objective: 600 * time.Millisecond, Latency: 400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			require.Greater(t, r.Delay(0), 800*time.Millisecond)
			require.Less(t, r.Delay(0.999), r.Remaining/3)
		})
	}
	require.Equal(t, 50*time.Millisecond, retryafter.Rejection{}.Delay(0.5))
}

// Guards against clients that return to a service without servers at once, or
// only when their answer must be late.
func TestReturnAfterARestart(t *testing.T) {
	restart := retryafter.Rejection{Remaining: 5 * time.Second, Objective: 1500 * time.Millisecond}
	for _, random := range []float64{0, 0.999} {
		wait := restart.Delay(random)
		require.GreaterOrEqual(t, wait, 300*time.Millisecond)
		require.Less(t, wait, restart.Objective-500*time.Millisecond)
	}
}
