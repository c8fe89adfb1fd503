package capacity_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/lab/capacity"
)

// Guards against errors in the least-squares fit from which the values in
// docs/CAPACITY.md are extrapolated.
func TestFit(t *testing.T) {
	f := capacity.NewFit([]capacity.Point{{Size: 1, Value: 5}, {Size: 2, Value: 7}, {Size: 4, Value: 11}})
	require.InDelta(t, 2, f.Slope, 1e-12)
	require.InDelta(t, 3, f.Intercept, 1e-12)
	require.InDelta(t, 1, f.R2, 1e-12)
	require.InDelta(t, 14_403, f.At(7200), 1e-9)

	f = capacity.NewFit([]capacity.Point{{Size: 0, Value: 0}, {Size: 1, Value: 2}, {Size: 2, Value: 1}, {Size: 3, Value: 3}})
	require.InDelta(t, 0.8, f.Slope, 1e-12)
	require.InDelta(t, 0.3, f.Intercept, 1e-12)
	require.InDelta(t, 0.64, f.R2, 1e-12)
}

// Guards against division by zero when all sizes or all values are equal.
func TestFitOfEqualPoints(t *testing.T) {
	require.Equal(t, capacity.Fit{}, capacity.NewFit(nil))
	require.Equal(t, capacity.Fit{Intercept: 4, R2: 1}, capacity.NewFit([]capacity.Point{{Size: 1, Value: 4}, {Size: 1, Value: 4}}))
	require.Equal(t, capacity.Fit{Intercept: 4, R2: 1}, capacity.NewFit([]capacity.Point{{Size: 1, Value: 4}, {Size: 2, Value: 4}}))
}

// Guards against a measurement whose calls are refused or that sends nothing,
// which would result in zero values.
func TestMeasurementRuns(t *testing.T) {
	r, err := capacity.Measure(t.Context(), capacity.WithSizeDivisor(32), capacity.WithCalls(0))
	require.NoError(t, err)
	for _, s := range r.Series {
		require.GreaterOrEqual(t, len(s.Points), 4, s.Name)
		last := s.Points[len(s.Points)-1]
		require.Positive(t, last.Value, "%s, %s", s.Name, s.Unit)
	}
	var table, document bytes.Buffer
	require.NoError(t, r.Table(&table))
	require.Contains(t, table.String(), "membership at rest")
	require.NoError(t, r.JSON(&document))
	require.Contains(t, document.String(), `"slope"`)
}
