package roster_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/roster"
)

const key = message.Route(1)

// newLoadedRoster returns a roster of n servers in four failure domains that have
// reported a load, out of 100, and a service time of 57 ms.
func newLoadedRoster(n, load int) *roster.Roster {
	r := roster.New()
	var candidates []roster.Candidate
	for i := range n {
		candidates = append(candidates, roster.Candidate{Node: fmt.Sprintf("10.0.0.%d:7620", i), Service: service, Slots: 106, SameDomain: i%4 == 0})
	}
	r.Replace(candidates)
	for i, c := range candidates {
		report(r, c.Node, roster.Report{Load: load + i%5, Limit: 100, Time: time.Duration(50+i%17) * time.Millisecond})
	}
	return r
}

// report records a report and an outlook with the same service time.
func report(r *roster.Roster, node string, state roster.Report) {
	for range 8 {
		r.RecordReport(start, node, state)
		r.RecordOutlook(start, node, key, roster.Outlook{ServiceTime: state.Time, Slowdown: 1}, state.Time)
	}
}

func choose(r *roster.Roster, now time.Time, objective time.Duration, random float64) string {
	return r.ChooseFor(now, roster.Request{Service: service, Route: key, Objective: objective}, random, anyNode, unlimitedBudget)
}

// Guards against a choice that allocates: it runs for every request and call.
func TestChooseForDoesNotAllocate(t *testing.T) {
	r := newLoadedRoster(90, 95)
	require.Zero(t, testing.AllocsPerRun(100, func() { choose(r, start.Add(100*time.Millisecond), time.Second, 0.5) }))
}

// spread returns the number of requests that each node receives out of n, whose choices
// differ only in the random number.
func spread(r *roster.Roster, now time.Time, objective time.Duration, n int) map[string]int {
	random := rand.New(rand.NewPCG(1, 1))
	got := make(map[string]int)
	for range n {
		got[choose(r, now, objective, random.Float64())]++
	}
	return got
}

// newPair returns a roster of a node in the own failure domain and one in another, with
// 10 slots each.
func newPair(nearTime, farTime time.Duration) *roster.Roster {
	r := roster.New()
	r.Replace([]roster.Candidate{{Node: "near", Service: service, Slots: 10, SameDomain: true}, {Node: "far", Service: service, Slots: 10}})
	report(r, "near", roster.Report{Limit: 10, Time: nearTime})
	report(r, "far", roster.Report{Limit: 10, Time: farTime})
	return r
}

// Guards against requests that leave the failure domain although its server meets their
// objective, ones that stay although only the other one does or has a free slot, and a
// choice of no server because the objective has passed.
func TestObjectiveDecidesOnTheDomain(t *testing.T) {
	r := newPair(100*time.Millisecond, 35*time.Millisecond)
	require.Equal(t, "near", choose(r, start, 1500*time.Millisecond, 0.5))
	require.Equal(t, "near", choose(r, start, 0, 0.5), "no objective")
	require.Equal(t, "far", choose(r, start, 120*time.Millisecond, 0.5))
	require.NotEmpty(t, choose(r, start, -time.Second, 0.5))
	report(r, "near", roster.Report{Load: 10, Limit: 10, Time: 100 * time.Millisecond})
	require.Equal(t, "far", choose(r, start, 1500*time.Millisecond, 0.5))
}

// Guards against a server in the own failure domain that fills up with the requests of
// this node before its next report.
func TestOwnRequestsCountBeforeTheNextReport(t *testing.T) {
	r := newPair(50*time.Millisecond, 50*time.Millisecond)
	got := make(map[string]int)
	for range 14 {
		node := choose(r, start, time.Second, 0.5)
		r.Begin(node)
		got[node]++
	}
	require.InDelta(t, 7, got["near"], 2)
	require.Less(t, got["far"], 10)
}

// Guards against nodes with the same old reports that all choose the same server, and
// against a server that is avoided for a load which it had long ago.
func TestOldReportsDoNotDecide(t *testing.T) {
	r := newRoster("a", "b")
	report(r, "a", roster.Report{Load: 9, Limit: 10, Time: 50 * time.Millisecond})
	report(r, "b", roster.Report{Load: 7, Limit: 10, Time: 50 * time.Millisecond})
	require.Equal(t, map[string]int{"b": 100}, spread(r, start, time.Second, 100))
	for _, age := range []time.Duration{200 * time.Millisecond, 2 * time.Second} {
		got := spread(r, start.Add(age), time.Second, 100)
		require.Greater(t, got["a"], 15, age)
		require.Greater(t, got["b"], 40, age)
	}
}

// Guards against a slow server that gets urgent requests while others have room, one
// that gets none after its recovery, a passing slowdown that counts for long, and a
// server that does not answer at all.
func TestSlowServers(t *testing.T) {
	for name, slow := range map[string]func(r *roster.Roster){
		"slow": func(r *roster.Roster) { report(r, "b", roster.Report{Limit: 10, Time: 400 * time.Millisecond}) },
		"slowdown": func(r *roster.Roster) {
			r.RecordOutlook(start, "b", key, roster.Outlook{ServiceTime: 50 * time.Millisecond, Slowdown: 5}, 0)
		},
		"silent": func(r *roster.Roster) {
			for range 3 {
				r.RecordOverdue(start, "b", 250*time.Millisecond)
			}
		},
	} {
		r := newRoster("a", "b")
		for _, node := range []string{"a", "b"} {
			report(r, node, roster.Report{Limit: 10, Time: 50 * time.Millisecond})
		}
		slow(r)
		require.Equal(t, map[string]int{"a": 100}, spread(r, start, 200*time.Millisecond, 100), name)
		later := map[string]time.Duration{"slow": 9 * time.Second, "slowdown": time.Second, "silent": 9 * time.Second}[name]
		require.Greater(t, spread(r, start.Add(later), 200*time.Millisecond, 100)["b"], 20, name)
	}
}

// Guards against a slow server that gets requests of a short objective, and against a
// fast one that is filled up with requests that have time.
func TestSlowServerGetsRequestsWithTime(t *testing.T) {
	const short, long = 100 * time.Millisecond, 1500 * time.Millisecond
	r := newRoster("fast", "slow")
	report(r, "slow", roster.Report{Limit: 10, Time: 110 * time.Millisecond})
	report(r, "fast", roster.Report{Limit: 10, Time: 40 * time.Millisecond})
	require.Equal(t, "fast", choose(r, start, long, 0.5), "there is room")
	report(r, "fast", roster.Report{Load: 8, Limit: 10, Time: 40 * time.Millisecond})
	require.Equal(t, "fast", choose(r, start, short, 0.5))
	require.Equal(t, "slow", choose(r, start, long, 0.5))
}

// Guards against a server that has just started and gets more requests than it can run
// before its first answer.
func TestChooseForNewServer(t *testing.T) {
	r := newRoster("a", "b")
	for _, node := range []string{"a", "b"} {
		report(r, node, roster.Report{Limit: 10, Time: 50 * time.Millisecond})
	}
	r.Replace([]roster.Candidate{
		{Node: "a", Service: service, Slots: 10, SameDomain: true},
		{Node: "b", Service: service, Slots: 10, SameDomain: true},
		{Node: "c", Service: service, Slots: 10, SameDomain: true},
	})
	got := make(map[string]int)
	random := rand.New(rand.NewPCG(1, 1))
	for range 24 {
		node := choose(r, start, time.Second, random.Float64())
		r.Begin(node)
		got[node]++
	}
	require.InDelta(t, 8, got["c"], 2)
}

// Guards against a server that sheds half of its requests and looks idle: it is used
// while the others are full and the retry budget allows it. One that loses requests is
// not, and one that names a limit keeps its load for as long as it takes no request.
func TestChooseForTroubledServers(t *testing.T) {
	r := newRoster("a", "b")
	report(r, "a", roster.Report{Load: 12, Limit: 10, Time: 50 * time.Millisecond})
	shedding := func(lost bool) {
		for i := range 64 {
			r.RecordReport(start, "b", roster.Report{Limit: 10, Time: 5 * time.Millisecond, Failed: i%2 == 0, Lost: lost && i%2 == 0})
			r.RecordOutlook(start, "b", key, roster.Outlook{ServiceTime: 50 * time.Millisecond, Slowdown: 1}, 0)
		}
	}
	shedding(false)
	require.Equal(t, "b", choose(r, start, time.Second, 0))
	noBudget := func(float64) bool { return false }
	req := roster.Request{Service: service, Route: key, Objective: time.Second}
	require.Equal(t, "a", r.ChooseFor(start, req, 0, anyNode, noBudget))
	require.Equal(t, "b", r.ChooseFor(start, req, 0, func(node string) bool { return node == "b" }, noBudget))
	require.Empty(t, r.ChooseFor(start, req, 0, func(string) bool { return false }, noBudget))
	shedding(true)
	require.Equal(t, "a", choose(r, start, time.Second, 0))
	report(r, "b", roster.Report{Load: 10, Limit: 10, Share: 0.05, Time: 50 * time.Millisecond})
	report(r, "a", roster.Report{Load: 5, Limit: 10, Time: 50 * time.Millisecond})
	require.Equal(t, map[string]int{"a": 100}, spread(r, start.Add(5*time.Second), time.Second, 100))
}

func BenchmarkChoose(b *testing.B) {
	for _, load := range []int{40, 95} {
		r := newLoadedRoster(90, load)
		now := start.Add(100 * time.Millisecond)
		random := rand.New(rand.NewPCG(1, 1))
		b.Run(fmt.Sprintf("load=%d/by=load", load), func(b *testing.B) {
			for b.Loop() {
				r.Choose(now, service, random.Float64(), anyNode, unlimitedBudget)
			}
		})
		b.Run(fmt.Sprintf("load=%d/by=outlook", load), func(b *testing.B) {
			for b.Loop() {
				choose(r, now, 1500*time.Millisecond, random.Float64())
			}
		})
	}
}
