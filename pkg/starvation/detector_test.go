package starvation_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/starvation"
)

var start = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

// Load: a service without room for all of its more important requests, at a node with 30
// requests a second. Guards against a less important kind that is not served for as long
// as that lasts, and against precedence for more than its share.
func TestLessImportantKindKeepsItsShare(t *testing.T) {
	d := starvation.New[string]()
	now := start
	served := map[string]float64{}
	const requests = 3000
	for i := range requests {
		now = now.Add(33 * time.Millisecond)
		kind := "view"
		if i%4 == 3 {
			kind = "gift"
		}
		// Seven in ten views are served, and no gift unless it has precedence.
		ok := i%10 < 7
		if kind == "gift" {
			ok = d.IsStarved(now, kind)
		}
		require.False(t, d.IsStarved(now, "view"))
		d.Record(now, kind, ok)
		if ok {
			served[kind]++
		}
	}
	all := (served["gift"] + served["view"]) / requests
	share := served["gift"] / (requests / 4) / all
	require.Greater(t, share, 0.4)
	require.Less(t, share, 0.6)
}

// Guards against precedence after a few failures, for a kind that is served like the
// others while nothing works, and after the end of the trouble.
func TestNoPrecedenceWithoutStarvation(t *testing.T) {
	d := starvation.New[string]()
	for range 3 {
		d.Record(start, "gift", false)
	}
	for range 100 {
		d.Record(start, "view", true)
	}
	require.False(t, d.IsStarved(start, "gift"), "too few requests")
	require.False(t, d.IsStarved(start, "unknown"))
	for range 97 {
		d.Record(start, "gift", false)
	}
	require.True(t, d.IsStarved(start, "gift"))
	later := start.Add(time.Minute)
	require.False(t, d.IsStarved(later, "gift"))
	for range 100 {
		d.Record(later, "gift", false)
		d.Record(later, "view", false)
	}
	require.False(t, d.IsStarved(later, "gift"), "nothing is served")
}

// Load: from one second on, 96 nodes with six requests a second each have no room for the
// less important kind, two thirds of them. Guards
// against precedence for all requests of the kind, at all nodes at once, until the first of
// them ends: that takes the room of the more important ones all over the mesh.
func TestPrecedenceInTheMesh(t *testing.T) {
	const (
		nodes    = 96
		tick     = 10 * time.Millisecond
		second   = int(time.Second / tick)
		seconds  = 40
		shortage = 5 * second
		views    = 4.0 // a second at each node
		orders   = 2.0
	)
	random := rand.New(rand.NewPCG(1, 1))
	detectors := make([]*starvation.Detector[string], nodes)
	for i := range detectors {
		detectors[i] = starvation.New[string]()
	}
	var promoted, all [seconds]float64
	for i := range seconds * second {
		now := start.Add(time.Duration(i) * tick)
		for _, d := range detectors {
			if random.Float64() < orders/float64(second) {
				d.Record(now, "order", true)
			}
			if random.Float64() >= views/float64(second) {
				continue
			}
			all[i/second]++
			if i >= shortage && d.IsStarved(now, "view") {
				d.Promote(now, "view")
				promoted[i/second]++
				continue
			}
			d.Record(now, "view", i < shortage)
		}
	}
	// With a share p of the views served, (2 + 4p)/6 of all requests are. Half of that is
	// due to the views, so that p is a quarter.
	sumPromoted, sumAll := 0.0, 0.0
	for i := range promoted {
		require.Less(t, promoted[i], 0.45*all[i], "second %d", i)
		if i >= seconds/2 {
			sumPromoted += promoted[i]
			sumAll += all[i]
		}
	}
	t.Logf("%.3f of the views have precedence", sumPromoted/sumAll)
	require.InDelta(t, 0.25, sumPromoted/sumAll, 0.06)
}

// Guards against a kind that counts as served because its requests are given precedence,
// though they fail.
func TestPrecedenceThatFails(t *testing.T) {
	d := starvation.New[string]()
	for range 100 {
		d.Record(start, "view", true)
		d.Record(start, "gift", false)
	}
	for range 100 {
		d.Promote(start, "gift")
	}
	require.False(t, d.IsStarved(start, "gift"))
	later := start.Add(time.Second)
	for range 100 {
		d.Fail(later, "gift", start)
	}
	require.True(t, d.IsStarved(later, "gift"))
	d.Fail(later, "unknown", start)
}
