package ratio_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/ratio"
)

// Guards against old events that count like recent ones, and against a division by zero
// without events.
func TestFraction(t *testing.T) {
	now := time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)
	r := ratio.New(time.Second)
	require.Equal(t, 1.0, r.Fraction(now))
	require.Zero(t, r.Events(now))
	for range 10 {
		r.Add(now, false)
	}
	require.Zero(t, r.Fraction(now))
	now = now.Add(time.Second)
	require.InDelta(t, 10/math.E, r.Events(now), 1e-9)
	r.Add(now, true)
	require.InDelta(t, 1/(1+10/math.E), r.Fraction(now), 1e-9)
	require.InDelta(t, 1, r.Successes(now), 1e-9)
	// A step of the clock backwards changes nothing.
	require.InDelta(t, 1, r.Successes(now.Add(-time.Hour)), 1e-9)
	require.InDelta(t, 0, r.Events(now.Add(time.Hour)), 1e-9)
}

// Guards against a success that weighs more or less when it is revoked than by then.
func TestRevokedSuccess(t *testing.T) {
	start := time.Unix(1_790_000_000, 0)
	r := ratio.New(time.Second)
	r.Add(start, true)
	r.Add(start.Add(time.Second), true)
	r.Revoke(start.Add(2*time.Second), start)
	require.InDelta(t, math.Exp(-1), r.Successes(start.Add(2*time.Second)), 1e-9)
	require.InDelta(t, math.Exp(-1)+math.Exp(-2), r.Events(start.Add(2*time.Second)), 1e-9)
	r.Revoke(start.Add(2*time.Second), start.Add(3*time.Second))
	require.Zero(t, r.Successes(start.Add(2*time.Second)))
}
