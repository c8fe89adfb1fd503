package budget_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/papayapath/papayapath/pkg/budget"
)

// Guards against a split that creates retries: a call tree spends no more than
// the bound, even if some unused allocations are never returned.
func TestSplitNeverCreatesRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.IntRange(0, 20).Draw(t, "bound")
		root := budget.New(bound)
		spent := spend(t, root, 0)
		require.LessOrEqual(t, spent+root.Remaining(), bound)
	})
}

func spend(t *rapid.T, b *budget.Budget, depth int) (spent int) {
	for range rapid.IntRange(0, 3).Draw(t, "steps") {
		if rapid.Bool().Draw(t, "retry") && b.Take() {
			spent++
		}
		if depth == 4 {
			continue
		}
		allocated := b.Allocate()
		child := budget.New(allocated)
		spent += spend(t, child, depth+1)
		if rapid.Bool().Draw(t, "answered") {
			b.Return(child.Remaining(), allocated)
		}
	}
	return spent
}

// Guards against a peer that returns more than its allocation, or a negative
// number.
func TestReturnIsClampedToAllocation(t *testing.T) {
	for _, test := range []struct{ unused, want int }{{0, 1}, {2, 3}, {9, 3}, {-5, 1}} {
		b := budget.New(3)
		allocated := b.Allocate()
		require.Equal(t, 2, allocated)
		b.Return(test.unused, allocated)
		require.Equal(t, test.want, b.Remaining())
	}
}

// Guards against a retry from an empty budget.
func TestEmptyBudgetAllowsNoRetry(t *testing.T) {
	for _, b := range []*budget.Budget{{}, budget.New(0), budget.New(-3)} {
		require.False(t, b.Take())
		require.Zero(t, b.Allocate())
		require.Zero(t, b.Remaining())
	}
}

func BenchmarkBudget(b *testing.B) {
	x := budget.New(3)
	b.ReportAllocs()
	for b.Loop() {
		n := x.Allocate()
		x.Return(n, n)
	}
}
