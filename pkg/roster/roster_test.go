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

func unlimitedBudget(float64) bool { return true }

// newRoster returns a roster of idle servers with 10 slots and a reported
// service time of 50 ms.
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

// countRequests returns the number of requests that each node receives out of n
// concurrent ones.
func countRequests(r *roster.Roster, now time.Time, n int) map[string]int {
	got := make(map[string]int)
	for range n {
		node := r.Choose(now, service, 0.5, anyNode, unlimitedBudget)
		r.Begin(node)
		got[node]++
	}
	return got
}

// Guards against overloading a server that has just started: without a
// report it counted as the fastest one and received more requests than it
// could run before its first answer.
func TestNewServerIsNotOverloaded(t *testing.T) {
	r := newRoster("a", "b")
	r.Replace([]roster.Candidate{
		{Node: "a", Service: service, Slots: 10, SameDomain: true},
		{Node: "b", Service: service, Slots: 10, SameDomain: true},
		{Node: "c", Service: service, Slots: 10, SameDomain: true},
	})
	got := countRequests(r, start, 24)
	require.InDelta(t, 8, got["c"], 1)
}

// Guards against a slow server that keeps its share of the requests, and
// against one that receives none after its recovery.
func TestSlowServerReceivesFewerRequests(t *testing.T) {
	r := newRoster("a", "b")
	r.RecordOverdue(start, "b", time.Second)
	require.Less(t, countRequests(r, start, 10)["b"], 2)
	later := start.Add(10 * time.Second)
	require.InDelta(t, 5, countRequests(endOffers(r, later), later, 10)["b"], 1)
}

// endOffers ends all offers of a roster and records a report of node a.
func endOffers(r *roster.Roster, now time.Time) *roster.Roster {
	for _, node := range []string{"a", "b"} {
		for r.InFlight(node) > 0 {
			r.End(node)
		}
	}
	r.RecordReport(now, "a", roster.Report{Limit: 10, Time: 50 * time.Millisecond})
	return r
}

// Guards against queueing in the own failure domain while another one has
// free capacity, and against needless traffic between failure domains.
func TestOwnDomainPreferredWithFreeCapacity(t *testing.T) {
	r := roster.New()
	r.Replace([]roster.Candidate{
		{Node: "home", Service: service, Slots: 10, SameDomain: true},
		{Node: "away", Service: service, Slots: 10},
	})
	for _, node := range []string{"home", "away"} {
		r.RecordReport(start, node, roster.Report{Limit: 10, Time: 50 * time.Millisecond})
	}
	require.Equal(t, map[string]int{"home": 4, "away": 2}, countRequests(r, start, 6))
	require.LessOrEqual(t, countRequests(r, start, 10)["home"], 6)
	require.Equal(t, "away", r.Choose(start, service, 0, func(node string) bool { return node != "home" }, unlimitedBudget))
	require.Empty(t, r.Choose(start, service, 0, func(string) bool { return false }, unlimitedBudget))
}

// Guards against a wrong number of offers in flight for a node that left and
// returned: offers that ended after its removal made the number negative.
func TestOfferEndsAfterNodeRemoval(t *testing.T) {
	r := newRoster("a")
	r.Begin("a")
	r.Remove("a")
	r.End("a")
	r.Begin("a")
	require.Equal(t, 1, r.InFlight("a"))
}

// Guards against sending a second attempt to a server without a free slot.
func TestHasCapacity(t *testing.T) {
	r := newRoster("a")
	require.True(t, r.HasCapacity("a"))
	require.False(t, r.HasCapacity("unknown"))
	r.RecordReport(start, "a", roster.Report{Load: 9, Limit: 10})
	r.Begin("a")
	require.False(t, r.HasCapacity("a"))
}

// Guards against a server that sheds half of its requests and therefore
// looks idle: it attracted half of the load of three servers, and a fifth of
// all requests found the retry budget exhausted. Without budget it receives
// no requests while other servers are available.
func TestSheddingServerWithinRetryBudget(t *testing.T) {
	r := newRoster("a", "b")
	for i := range 64 {
		r.RecordReport(start, "b", roster.Report{Limit: 10, Time: 5 * time.Millisecond, Failed: i%2 == 0})
	}
	r.RecordReport(start, "a", roster.Report{Load: 9, Limit: 10, Time: 50 * time.Millisecond})
	require.Equal(t, "b", r.Choose(start, service, 0, anyNode, func(retries float64) bool { return retries <= 1 }))
	noBudget := func(float64) bool { return false }
	require.Equal(t, "a", r.Choose(start, service, 0, anyNode, noBudget))
	onlyB := func(node string) bool { return node == "b" }
	require.Equal(t, "b", r.Choose(start, service, 0, onlyB, noBudget))
}
