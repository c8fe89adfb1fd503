package optimum_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/document"
	"github.com/papayapath/papayapath/internal/lab/optimum"
)

// chain returns a scenario with a bottleneck at call depth two: the 100 slots of
// calendars, of which a browse request takes 0.16 s and a check request 0.04 s.
func chain() *optimum.Scenario {
	return &optimum.Scenario{
		Services: []optimum.Service{{Name: "catalogue", Servers: 4, Slots: 200}, {Name: "calendars", Servers: 2, Slots: 50}},
		Classes: []optimum.Class{
			{Name: "browse", Service: "catalogue", Work: 100, Rate: 500, Worth: 1, Calls: []optimum.Call{{Class: "spec", PerRun: 2}}},
			{Name: "spec", Service: "catalogue", Work: 10, Calls: []optimum.Call{{Class: "read", PerRun: 4}}},
			{Name: "read", Service: "calendars", Work: 20},
			{Name: "check", Service: "calendars", Work: 40, Rate: 500, Worth: 2},
		},
	}
}

// Guards against an optimum that does not allocate the bottleneck by worth per
// slot second, or that ignores the number of nested calls.
func TestBottleneckIsAllocatedByWorth(t *testing.T) {
	o, err := optimum.Solve(chain(), 1)
	require.NoError(t, err)
	require.InDelta(t, 500, o.ServedRate("check"), 1e-6)
	require.InDelta(t, (100-500*0.04)/0.16, o.ServedRate("browse"), 1e-6)
	require.InDelta(t, 1, o.Utilization("calendars"), 1e-9)
	o, err = optimum.Solve(chain(), 6)
	require.NoError(t, err)
	require.InDelta(t, 2500, o.ServedRate("check"), 1e-6)
	require.Zero(t, o.ServedRate("browse"))
	require.InDelta(t, 5000.0/(6*500+6*1000), o.Worth(), 1e-9)
}

// Guards against rejected requests when the capacity suffices for all.
func TestAllRequestsServedBelowCapacity(t *testing.T) {
	o, err := optimum.Solve(chain(), 0.5)
	require.NoError(t, err)
	require.InDelta(t, 1, o.Worth(), 1e-9)
	s := chain()
	s.Services[1].Speed = 2
	o, err = optimum.Solve(s, 1)
	require.NoError(t, err)
	require.InDelta(t, 1, o.Worth(), 1e-9)
}

// All servers of calendars shed half of what they get, and browse needs 8 answers of them,
// check one. Guards against a limit that assumes more retries than there are, and against
// one that leaves out the requests that are served without any.
func TestSheddingIsLimitedByRetries(t *testing.T) {
	for retries, want := range map[float64]struct{ browse, check float64 }{
		0: {browse: 500.0 / 256, check: 250},
		// The worth of a check is 2, so a retry earns 1 with a check and 1/8 with a browse.
		100: {browse: 500.0 / 256, check: 300},
		900: {browse: 50 + 450.0/256, check: 500},
	} {
		o, err := optimum.Solve(chain(), 1, optimum.WithShedding(optimum.Shedding{Service: "calendars", Fraction: 0.5, Retries: retries}))
		require.NoError(t, err)
		require.InDelta(t, want.check, o.ServedRate("check"), 1e-6, retries)
		require.InDelta(t, want.browse, o.ServedRate("browse"), 1e-6, retries)
	}
}

// Guards against accepting scenario files with undefined names or call cycles.
func TestInvalidScenariosAreRejected(t *testing.T) {
	for reason, classes := range map[string]string{
		"unknown service": `{"name":"a","service":"x","work":1}`,
		"unknown class":   `{"name":"a","service":"s","work":1,"calls":[{"class":"x","times":1}]}`,
		"form a cycle":    `{"name":"a","service":"s","work":1,"calls":[{"class":"a","times":1}]}`,
		"work":            `{"name":"a","service":"s"}`,
	} {
		_, err := document.Decode[optimum.Scenario]("test", []byte(`{"services":[{"name":"s","servers":1,"slots":1}],"classes":[`+classes+`]}`))
		require.Error(t, err, reason)
		require.Contains(t, err.Error(), reason)
	}
}

// Guards against a table that omits a class or a service.
func TestWriteTable(t *testing.T) {
	o, err := optimum.Solve(chain(), 1)
	require.NoError(t, err)
	var b strings.Builder
	require.NoError(t, o.WriteTable(&b))
	for _, name := range []string{"browse", "check", "catalogue", "calendars", "worth"} {
		require.Contains(t, b.String(), name)
	}
}
