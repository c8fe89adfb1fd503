package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a node that may take a part.
type Candidate struct {
	Node   string
	Domain string // failure domain
}

// Rank returns how many candidates come before a node for a part, a number from 0. Parts
// prefer different failure domains, and different nodes of one domain, as far as there are
// enough, so that a loss takes as few parts as possible.
func Rank(candidates []Candidate, node string, part int) int {
	domains := make([]string, 0, len(candidates))
	for _, c := range candidates {
		domains = append(domains, c.Domain)
	}
	slices.Sort(domains)
	domains = slices.Compact(domains)
	if len(domains) == 0 {
		return 0
	}
	preferred, turn := domains[part%len(domains)], part/len(domains)
	ordered := slices.SortedFunc(slices.Values(candidates), func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(rankOf(a.Domain != preferred), rankOf(b.Domain != preferred)),
			cmp.Compare(xxhash.Sum64String(a.Node), xxhash.Sum64String(b.Node)),
			cmp.Compare(a.Node, b.Node),
		)
	})
	near := slices.IndexFunc(ordered, func(c Candidate) bool { return c.Domain != preferred })
	if near < 0 {
		near = len(ordered)
	}
	// Of the parts that prefer the domain, each one begins with another of its nodes.
	index := slices.IndexFunc(ordered, func(c Candidate) bool { return c.Node == node })
	if index >= 0 && index < near {
		return (index - turn%near + near) % near
	}
	return max(index, 0)
}

// rankOf orders false before true.
func rankOf(b bool) int {
	if b {
		return 1
	}
	return 0
}
