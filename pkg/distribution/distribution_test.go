package distribution_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/distribution"
)

// heavyTail returns a service time with a mean of 1 s: a log-normal one, of which 3 in
// 100 take seven times as long.
func heavyTail(r *rand.Rand) float64 {
	const spread, longShare, longFactor = 0.5, 0.03, 7
	v := math.Exp(spread*r.NormFloat64()-spread*spread/2) / (1 + longShare*(longFactor-1))
	if r.Float64() < longShare {
		v *= longFactor
	}
	return v
}

// Guards against a remaining time that falls with age although long requests are
// likely to run on, and against a tail that is lost in the buckets.
func TestHeavyTail(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	var d distribution.Distribution
	values := make([]float64, 0, 3000)
	for range 3000 {
		v := heavyTail(r)
		values = append(values, v)
		d.Add(v)
	}
	require.True(t, d.Known())
	require.InDelta(t, 1, d.Mean(), 0.1)
	for _, age := range []float64{0.3, 0.8, 1.5, 2.5, 4} {
		above, remaining := 0.0, 0.0
		for _, v := range values {
			if v > age {
				above++
				remaining += v - age
			}
		}
		require.InDelta(t, above/float64(len(values)), d.Exceeded(age), 0.03, "above %v", age)
		require.InDelta(t, remaining/above, d.Residual(age), 0.35*remaining/above, "remaining at %v", age)
	}
	require.Greater(t, d.Residual(2.5), 2*d.Residual(0.8), "a request that has run for long runs on")
	require.Greater(t, d.RunningResidual(), 1.0)
}

// Guards against a division by zero without samples, values that no bucket holds, and
// a distribution that never forgets.
func TestLimits(t *testing.T) {
	var d distribution.Distribution
	require.False(t, d.Known())
	require.Zero(t, d.Mean())
	require.Zero(t, d.RunningResidual())
	for _, v := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		d.Add(v)
		require.InDelta(t, 1, d.Exceeded(min(v, 0)), 0)
	}
	require.Zero(t, d.Mean())
	for _, v := range []float64{1e-9, 1e9} {
		for range 40 {
			d.Add(v)
		}
		require.False(t, math.IsNaN(d.Residual(v)) || math.IsNaN(d.Exceeded(v)))
	}
	require.Positive(t, d.Residual(1e12))
	for range 20_000 {
		d.Add(0.1)
	}
	require.InDelta(t, 0.1, d.Mean(), 0.01)
	require.Less(t, d.Exceeded(0.2), 0.01)
}
