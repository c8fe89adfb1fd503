package priority_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/priority"
)

// Guards against a route whose importance outweighs that of the customer, and against
// routes of one customer that lose their order.
func TestCustomerPrecedesRoute(t *testing.T) {
	previous := -1
	for l := importance.Background; l <= importance.Critical; l++ {
		for route := importance.Background; route <= importance.Critical; route++ {
			p := priority.New(route, "abc").WithCustomer(l)
			require.Greater(t, int(p), previous)
			require.Less(t, p, priority.Count)
			require.Equal(t, route, p.Level())
			require.Equal(t, l, p.Customer())
			previous = int(p)
		}
	}
	require.Equal(t, priority.New(importance.Critical, "abc").WithCustomer(importance.High),
		priority.New(importance.Normal, "abc").WithCustomer(importance.High).WithLevel(importance.Critical))
	p := priority.New(importance.High, "abc").WithCustomer(importance.Critical)
	require.Equal(t, priority.New(importance.High, "abc").WithCustomer(importance.Normal), p.WithCustomer(importance.Normal))
}
