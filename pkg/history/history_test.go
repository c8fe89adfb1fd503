package history_test

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/history"
)

// Guards against values that are forgotten too early, or never.
func TestLatestValuesAreKnown(t *testing.T) {
	h := history.New(100)
	for i := range 1000 {
		require.False(t, h.Add(strconv.Itoa(i)))
		require.True(t, h.Add(strconv.Itoa(max(0, i-49))), i)
	}
	require.False(t, h.Add("0"))
}
