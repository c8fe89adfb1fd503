package starvation_test

import (
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
