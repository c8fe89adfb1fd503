package speed_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/speed"
)

// Guards against a server that counts as slow because it runs the longer requests: two
// servers of equal speed that serve different routes, and one of half the speed. The
// service time of a route at a server that never ran it follows from the others.
func TestWorkIsNotTakenForSpeed(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	work := []time.Duration{50 * time.Millisecond, 160 * time.Millisecond}
	slowness := []float64{1, 1, 2}
	share := [][]float64{{0.9}, {0.1}, {1}} // of the first route at each server
	var routes [2]speed.Route
	var servers [3]speed.Server
	for range 2000 {
		s := r.IntN(len(servers))
		route := 0
		if r.Float64() >= share[s][0] {
			route = 1
		}
		noise := 0.9 + 0.2*r.Float64()
		speed.Learn(&routes[route], &servers[s], time.Duration(noise*slowness[s]*float64(work[route])), 1)
	}
	for s := range servers {
		require.True(t, servers[s].Known())
		require.InEpsilon(t, slowness[s]/slowness[0], servers[s].Slowness()/servers[0].Slowness(), 0.2, "server %d", s)
		for i := range routes {
			want := slowness[s] * float64(work[i])
			require.InEpsilon(t, want, servers[s].Slowness()*float64(routes[i].Time()), 0.2, "route %d at server %d", i, s)
		}
	}
}

// Guards against a server that stays slow after a cold start, and against values that
// are no service times.
func TestChangeOfSpeed(t *testing.T) {
	var route speed.Route
	var steady, started speed.Server
	speed.Learn(&route, &steady, 0, 0)
	require.False(t, steady.Known())
	for i := range 40 {
		speed.Learn(&route, &steady, 100*time.Millisecond, 1)
		cold := 200 * time.Millisecond
		if i >= 20 {
			cold = 100 * time.Millisecond
		}
		speed.Learn(&route, &started, cold, 1)
	}
	require.InEpsilon(t, 1, started.Slowness()/steady.Slowness(), 0.1)
}
