package delay_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/lab/delay"
)

// Guards against a measurement that does not record the requested number of
// calls.
func TestMeasureCountsCalls(t *testing.T) {
	f, err := delay.Measure(t.Context(), 200, 0)
	require.NoError(t, err)
	require.EqualValues(t, 200, f.Direct.TotalCount())
	require.EqualValues(t, 200, f.ViaNodes.TotalCount())
	t.Logf("added ms at 50/99/99.9: %.3f %.3f %.3f", f.Added(50), f.Added(99), f.Added(99.9))
}
