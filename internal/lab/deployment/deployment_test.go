package deployment_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/lab/deployment"
	"github.com/papayapath/papayapath/pkg/importance"
)

// countCalls returns the call depth of a request and the number of its calls to
// the bottleneck.
func countCalls(t *testing.T, d *deployment.Deployment, service, path string) (depth, bottleneck int) {
	for _, s := range d.Services() {
		if s.Name != service {
			continue
		}
		for _, p := range s.Paths {
			if !strings.HasPrefix(path, p.Prefix) {
				continue
			}
			for _, step := range p.Steps {
				further, more := countCalls(t, d, step.Service, step.Path)
				depth, bottleneck = max(depth, further), bottleneck+more
			}
			if service == d.Bottleneck() {
				bottleneck++
			}
			return depth + 1, bottleneck
		}
	}
	require.Fail(t, "no server handles the path", service+path)
	return 0, 0
}

// Guards against a call chain that is broken or too short, or whose number of
// bottleneck calls differs from the assumption behind Limit.
func TestChains(t *testing.T) {
	for _, d := range deployment.All() {
		for _, c := range d.Customers() {
			for _, class := range c.Classes {
				depth, bottleneck := countCalls(t, d, class.Service, class.Path)
				require.GreaterOrEqual(t, depth, 4, class.Path)
				require.Equal(t, 1, bottleneck, class.Path)
				require.Equal(t, class.NonRepeatable, class.Importance == importance.Critical, class.Path)
			}
		}
	}
}

// Guards against a disturbance without overload, and against overload outside
// the disturbance. Normal load uses at most half of the bottleneck capacity,
// but exceeds the capacity during the disturbance. Critical requests alone
// must fit within that.
func TestLoadFitsLimits(t *testing.T) {
	for _, d := range deployment.All() {
		require.Less(t, d.Rate(), 0.5*float64(d.Limit(1)), d.Name())
		require.Greater(t, d.Rate(), float64(d.Limit(4)), d.Name())
		critical := 0.0
		for _, c := range d.Customers() {
			total, part := 0.0, 0.0
			for _, class := range c.Classes {
				total += class.Weight
				if class.Importance == importance.Critical {
					part += class.Weight
				}
			}
			critical += c.Rate * part / total
		}
		require.Less(t, 3*critical, 0.5*float64(d.Limit(4)), d.Name())
	}
}

// Guards against a contract that does not cover all requests of its customer.
func TestContractsCoverLoad(t *testing.T) {
	for _, d := range deployment.All() {
		contracts := d.Contracts()
		for i, c := range d.Customers() {
			require.Equal(t, c.Name, contracts[i].Customer())
			require.Greater(t, contracts[i].Rate(), c.Rate)
			for _, class := range c.Classes {
				got, ok := contracts[i].Class(class.Service, class.Method, class.Path+"/1")
				require.True(t, ok, class.Path)
				require.Equal(t, class.Importance, got.Importance())
				require.Equal(t, !class.NonRepeatable, got.Repeatable())
				require.Equal(t, class.Deadline, got.Deadline())
			}
		}
	}
}

// Guards against an unknown name that is accepted as a deployment.
func TestFind(t *testing.T) {
	d, err := deployment.ByName("regie")
	require.NoError(t, err)
	require.Len(t, d.Placements(), 13)
	var unknown *deployment.NameError
	_, err = deployment.ByName("other")
	require.ErrorAs(t, err, &unknown)
}
