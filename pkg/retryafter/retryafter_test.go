package retryafter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/retryafter"
)

// noCapacity is a request with a deadline of 5 s and an objective of 1.2 s that
// was rejected on arrival because no server had capacity.
var noCapacity = retryafter.Rejection{
	Remaining: 5 * time.Second, Objective: 1200 * time.Millisecond, Latency: 400 * time.Millisecond, NoCapacity: true,
}

// Guards against clients that retry too late to meet their objective although
// capacity was available before.
func TestReturnLeavesTimeForTheObjective(t *testing.T) {
	for _, random := range []float64{0, 0.5, 0.999} {
		wait := noCapacity.Delay(random)
		require.GreaterOrEqual(t, wait, 100*time.Millisecond)
		require.LessOrEqual(t, wait+noCapacity.Latency, noCapacity.Objective)
	}
}

// Guards against synchronized retries of clients that were rejected together.
func TestDelaysAreJittered(t *testing.T) {
	for _, r := range []retryafter.Rejection{noCapacity, {Remaining: 5 * time.Second}, {Remaining: 600 * time.Millisecond}} {
		require.Greater(t, r.Delay(0.999), 3*r.Delay(0)/2)
	}
}

// Guards against a delay above a third of the remaining time, which clients do
// not accept, and against an early retry if the objective cannot be met anyway.
func TestDelayWhenTheObjectiveCannotBeMet(t *testing.T) {
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

// Guards against clients that retry immediately while a service has no servers,
// or too late to meet their objective.
func TestDelayAfterARestart(t *testing.T) {
	restart := retryafter.Rejection{Remaining: 5 * time.Second, Objective: 1500 * time.Millisecond}
	for _, random := range []float64{0, 0.999} {
		wait := restart.Delay(random)
		require.GreaterOrEqual(t, wait, 300*time.Millisecond)
		require.Less(t, wait, restart.Objective-500*time.Millisecond)
	}
}
