package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/rendezvous"
)

// Guards against one node, or one failure domain, that is the first candidate for more
// parts than necessary, and against two nodes of the same rank.
func TestFirstCandidatesAreSpread(t *testing.T) {
	const parts = 4
	for _, c := range []struct{ domains, nodes, most int }{
		{1, 1, 4}, {1, 2, 2}, {1, 4, 1}, {1, 9, 1}, {2, 1, 2}, {2, 2, 1}, {3, 1, 2}, {3, 2, 1}, {3, 20, 1}, {4, 1, 1}, {5, 3, 1},
	} {
		t.Run(fmt.Sprintf("%d domains of %d nodes", c.domains, c.nodes), func(t *testing.T) {
			var all []rendezvous.Candidate
			for i := range c.domains * c.nodes {
				all = append(all, rendezvous.Candidate{Node: fmt.Sprintf("10.0.0.%d:7620", i), Domain: fmt.Sprint("z", i%c.domains)})
			}
			firsts, domains := make(map[string]int), make(map[string]int)
			for part := range parts {
				var ranks []int
				for _, candidate := range all {
					r := rendezvous.Rank(all, candidate.Node, part)
					ranks = append(ranks, r)
					if r == 0 {
						firsts[candidate.Node]++
						domains[candidate.Domain]++
					}
				}
				slices.Sort(ranks)
				for i, r := range ranks {
					require.Equal(t, i, r)
				}
			}
			for _, n := range firsts {
				require.LessOrEqual(t, n, c.most)
			}
			for _, n := range domains {
				require.LessOrEqual(t, n, (parts+c.domains-1)/c.domains)
			}
		})
	}
}

// Guards against ranks that change for most nodes when one joins.
func TestRankIsStable(t *testing.T) {
	var all []rendezvous.Candidate
	for i := range 30 {
		all = append(all, rendezvous.Candidate{Node: fmt.Sprintf("10.0.0.%d:7620", i), Domain: fmt.Sprint("z", i%3)})
	}
	for part := range 4 {
		for _, c := range all[:29] {
			before, after := rendezvous.Rank(all[:29], c.Node, part), rendezvous.Rank(all, c.Node, part)
			if before > 0 {
				require.InDelta(t, before, after, 1)
			}
		}
	}
	require.Zero(t, rendezvous.Rank(nil, "x", 2))
}
