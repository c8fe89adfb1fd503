package term_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/term"
)

// Guards against limits without an allocator for the first 15 s of a system whose log
// states no generation, and against a claim beside a holder whose record was lost.
func TestClaimWithoutRecord(t *testing.T) {
	now := time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		first, generation uint64
		isAtOnce          bool
	}{{1, 0, true}, {1, 1, true}, {1, 2, false}, {0, 0, false}, {0, 1, false}} {
		state := term.New(0, "a", 1, term.WithFirstGeneration(c.first))
		state.Observe(now, term.Record{}, 0, c.generation)
		a := state.Next(now, 0, 0)
		require.Equal(t, c.isAtOnce, a.Kind == term.Append, "%+v", c)
		if !c.isAtOnce {
			require.Equal(t, term.Append, state.Next(now.Add(16*time.Second), 0, 0).Kind)
		}
	}
}
