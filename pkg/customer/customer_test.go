package customer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/customer"
	"github.com/papayapath/papayapath/pkg/importance"
)

// Guards against a customer without a limit that is refused, and against one without an
// importance that is served before or after all others.
func TestDefaults(t *testing.T) {
	c := customer.New("one")
	require.False(t, c.IsLimited())
	require.Greater(t, importance.Critical, c.Level())
	require.Less(t, importance.Background, c.Level())
	limited := customer.New("two", customer.WithLimit(3, 2), customer.WithLevel(importance.Background))
	require.True(t, limited.IsLimited())
	require.Equal(t, 2.0, limited.Burst())
	require.Equal(t, importance.Background, limited.Level())
}
