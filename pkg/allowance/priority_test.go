package allowance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/allowance"
	"github.com/papayapath/papayapath/pkg/importance"
)

// Guards against an offer of another node with a priority that no node gives, whose
// calls would get many times the retry budget.
func TestPriorityOutOfRangeGetsTheWholeBudget(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	a := allowance.New(0.1, 0, 10*time.Second)
	for range 1000 {
		a.Request(now)
	}
	require.True(t, a.Allows(now, 1, importance.Critical, 75))
	require.False(t, a.Allows(now, 1, importance.Critical, 76))
	for level := importance.Critical + 1; level != 0; level++ {
		require.False(t, a.Allows(now, 1, level, 76), "level %d", level)
	}
}
