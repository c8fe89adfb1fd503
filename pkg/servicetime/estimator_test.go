package servicetime_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/servicetime"
)

var start = time.Date(2026, time.January, 5, 8, 0, 0, 0, time.UTC)

// Guards against a slowdown of 600 ms that is not noticed while it lasts, that stays
// in the usual service time after it, or that heavy-tailed runs without any slowdown
// look like; with many runs a second and with few.
func TestPassingSlowdown(t *testing.T) {
	for rate, tolerance := range map[int]float64{1200: 0.35, 100: 0.45} {
		r := rand.New(rand.NewPCG(1, uint64(rate)))
		e := servicetime.New()
		step := time.Second / time.Duration(rate)
		now := start
		run := func(length time.Duration, factor float64) {
			for end := now.Add(length); now.Before(end); now = now.Add(step) {
				v := math.Exp(0.5*r.NormFloat64()) * factor
				if r.Float64() < 0.03 {
					v *= 7
				}
				e.Add(now, message.Route(r.IntN(2)), time.Duration(v*float64(57*time.Millisecond)))
			}
		}
		run(20*time.Second, 1)
		require.InDelta(t, 1, e.Slowdown(), tolerance, "%d/s", rate)
		usual := e.Usual(0)
		run(600*time.Millisecond, 2.5)
		require.InDelta(t, 2.5, e.Slowdown(), 2.5*tolerance, "%d/s", rate)
		require.InEpsilon(t, usual, e.Usual(0), 0.2)
		run(time.Second, 1)
		require.InDelta(t, 1, e.Slowdown(), tolerance, "%d/s", rate)
	}
}

// Guards against a server with few requests whose stall goes unnoticed for many of them,
// and against one long request that counts as a stall.
func TestStallWithFewRuns(t *testing.T) {
	e := servicetime.New()
	now := start
	run := func(n int, d time.Duration) {
		for range n {
			now = now.Add(time.Second)
			e.Add(now, 1, d)
		}
	}
	run(20, 50*time.Millisecond)
	run(1, 500*time.Millisecond)
	require.Less(t, e.Slowdown(), 1.5)
	run(5, 500*time.Millisecond)
	require.Greater(t, e.Slowdown()*float64(e.Usual(1)), float64(300*time.Millisecond))
	run(8, 50*time.Millisecond)
	require.Less(t, e.Slowdown()*float64(e.Usual(1)), float64(100*time.Millisecond))
}

// Guards against kinds of requests without bound, and against a usual service time of
// one that has never run.
func TestKinds(t *testing.T) {
	e := servicetime.New()
	e.Add(start, 1, 0)
	require.Zero(t, e.Usual(1))
	require.InDelta(t, 1, e.Slowdown(), 0)
	for key := range message.Route(5000) {
		e.Add(start, key, time.Millisecond)
	}
	require.Zero(t, e.Usual(1))
	require.InEpsilon(t, time.Millisecond, e.Usual(4999), 1e-6)
}
