package routing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/routing"
)

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against a request that is matched to a route with a shorter prefix or
// of another host, or to any route if none matches.
func TestLookupTakesLongestPrefix(t *testing.T) {
	short := routing.NewRoute("short", "/a/")
	long := routing.NewRoute("long", "/a/b/")
	table := routing.New(7, routing.WithRoute("one.example", short), routing.WithRoute("ONE.example", long))
	require.Equal(t, uint64(7), table.Version())
	require.Same(t, long, table.Lookup("one.example", "/a/b/c"))
	require.Same(t, short, table.Lookup("one.example", "/a/bc"))
	require.Nil(t, table.Lookup("one.example", "/a"))
	require.Nil(t, table.Lookup("two.example", "/a/b/"))
}

// Guards against services of a route that get more or fewer requests than their
// weights imply.
func TestChooseFollowsWeights(t *testing.T) {
	r := routing.NewRoute("split", "/",
		routing.WithWeightedService("a", 90, random()), routing.WithWeightedService("b", 10, random()), routing.WithWeightedService("none", 0, random()))
	counts := make(map[string]int)
	for range 1000 {
		counts[r.ChooseService()]++
	}
	require.InDelta(t, 900, counts["a"], 2)
	require.InDelta(t, 100, counts["b"], 2)
	require.Zero(t, counts["none"])
	require.Empty(t, routing.NewRoute("empty", "/").ChooseService())
}

// Guards against a request with an objective beyond its time-out that counts as in time
// after it has been cut.
func TestUseful(t *testing.T) {
	for _, c := range []struct{ objective, timeout, useful time.Duration }{
		{4 * time.Second, 1500 * time.Millisecond, 1500 * time.Millisecond},
		{time.Second, 5 * time.Second, time.Second},
		{0, time.Second, time.Second},
		{time.Second, 0, time.Second},
		{0, 0, 0},
	} {
		r := routing.NewRoute("r", "/", routing.WithObjective(c.objective), routing.WithTimeout(c.timeout))
		require.Equal(t, c.useful, r.Useful())
	}
}

// Guards against nodes that all send their first request to the same service.
func TestFirstChoicesDiffer(t *testing.T) {
	r := random()
	first := make(map[string]int)
	for range 100 {
		first[routing.NewRoute("split", "/", routing.WithWeightedService("a", 50, r), routing.WithWeightedService("b", 50, r)).ChooseService()]++
	}
	require.Greater(t, first["a"], 20)
	require.Greater(t, first["b"], 20)
}
