package roster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/roster"
)

const service = "calendars"

var start = time.Date(2026, time.January, 5, 8, 0, 0, 0, time.UTC)

func anyNode(string) bool { return true }

func always(float64) bool { return true }

// newRoster returns a roster of servers of 10 slots that have answered within
// 50 ms and are idle.
func newRoster(nodes ...string) *roster.Roster {
	r := roster.New()
	var candidates []roster.Candidate
	for _, node := range nodes {
		candidates = append(candidates, roster.Candidate{Node: node, Service: service, Slots: 10, SameDomain: true})
	}
	r.Replace(candidates)
	for _, node := range nodes {
		r.RecordReport(start, node, roster.Report{Limit: 10, Time: 50 * time.Millisecond})
	}
	return r
}

// counts returns how many of n requests that arrive at once each node gets.
func counts(r *roster.Roster, now time.Time, n int) map[string]int {
	got := make(map[string]int)
	for range n {
		node := r.Choose(now, service, 0.5, anyNode, always)
		r.Begin(node)
		got[node]++
	}
	return got
}

// Guards against a server that has just started and told nothing: it counted
// as the quickest one and got more than it could run before its first answer.
func TestNewcomerIsNotFlooded(t *testing.T) {
	r := newRoster("a", "b")
	r.Replace([]roster.Candidate{
		{Node: "a", Service: service, Slots: 10, SameDomain: true},
		{Node: "b", Service: service, Slots: 10, SameDomain: true},
		{Node: "c", Service: service, Slots: 10, SameDomain: true},
	})
	got := counts(r, start, 24)
	require.InDelta(t, 8, got["c"], 1)
}

// Guards against a slow server that keeps its share of the requests, and that
// gets none again once it is as quick as the others.
func TestSlowServerGetsLess(t *testing.T) {
	r := newRoster("a", "b")
	r.RecordOverdue(start, "b", time.Second)
	require.Less(t, counts(r, start, 10)["b"], 2)
	later := start.Add(10 * time.Second)
	require.InDelta(t, 5, counts(newRosterAt(r, later), later, 10)["b"], 1)
}

// newRosterAt ends all offers of a roster.
func newRosterAt(r *roster.Roster, now time.Time) *roster.Roster {
	for _, node := range []string{"a", "b"} {
		for r.InFlight(node) > 0 {
			r.End(node)
		}
	}
	r.RecordReport(now, "a", roster.Report{Limit: 10, Time: 50 * time.Millisecond})
	return r
}

// Guards against requests that queue at home while another failure domain has
// room, and against traffic between failure domains without need.
func TestOwnDomainWhileItHasRoom(t *testing.T) {
	r := roster.New()
	r.Replace([]roster.Candidate{
		{Node: "home", Service: service, Slots: 10, SameDomain: true},
		{Node: "away", Service: service, Slots: 10},
	})
	for _, node := range []string{"home", "away"} {
		r.RecordReport(start, node, roster.Report{Limit: 10, Time: 50 * time.Millisecond})
	}
	require.Equal(t, map[string]int{"home": 4, "away": 2}, counts(r, start, 6))
	require.LessOrEqual(t, counts(r, start, 10)["home"], 6)
	require.Equal(t, "away", r.Choose(start, service, 0, func(node string) bool { return node != "home" }, always))
	require.Empty(t, r.Choose(start, service, 0, func(string) bool { return false }, always))
}

// Guards against counts of a node that was gone and is back: offers that end
// after it was forgotten made its count negative.
func TestOfferEndsAfterItsNodeIsForgotten(t *testing.T) {
	r := newRoster("a")
	r.Begin("a")
	r.Remove("a")
	r.End("a")
	r.Begin("a")
	require.Equal(t, 1, r.InFlight("a"))
}

// Guards against a second server that is asked although it is full.
func TestHasRoom(t *testing.T) {
	r := newRoster("a")
	require.True(t, r.HasCapacity("a"))
	require.False(t, r.HasCapacity("unknown"))
	r.RecordReport(start, "a", roster.Report{Load: 9, Limit: 10})
	r.Begin("a")
	require.False(t, r.HasCapacity("a"))
}

// Guards against a server that sheds half of its requests and so looks idle: it
// drew half of the load of three servers, and a fifth of all requests found no
// retry. Without budget it gets none while others are there.
func TestGreyServerGetsWhatTheBudgetAllows(t *testing.T) {
	r := newRoster("a", "b")
	for i := range 64 {
		r.RecordReport(start, "b", roster.Report{Limit: 10, Time: 5 * time.Millisecond, Failed: i%2 == 0})
	}
	r.RecordReport(start, "a", roster.Report{Load: 9, Limit: 10, Time: 50 * time.Millisecond})
	require.Equal(t, "b", r.Choose(start, service, 0, anyNode, func(retries float64) bool { return retries <= 1 }))
	never := func(float64) bool { return false }
	require.Equal(t, "a", r.Choose(start, service, 0, anyNode, never))
	onlyB := func(node string) bool { return node == "b" }
	require.Equal(t, "b", r.Choose(start, service, 0, onlyB, never))
}
