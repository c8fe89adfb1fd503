package overload_test

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/document"
	"github.com/papayapath/papayapath/internal/lab/optimum"
	"github.com/papayapath/papayapath/internal/lab/overload"
)

const (
	// minWorth is the required fraction of the limit under overload.
	minWorth = 0.95
	// warmUp is the time before the statistics start.
	warmUp = 5 * time.Second
	// measuredTime is the time covered by the statistics.
	measuredTime = 15 * time.Second
	// burst is the load factor of days with peak load.
	burst = 1.7
)

// patterns are loads that exceed the capacity of the calendars service, the
// bottleneck of both deployments, except for the calm one.
var patterns = map[string]overload.Pattern{
	"calm":         {},
	"burst":        {Load: burst},
	"hard retries": {Load: burst, Retries: 3, ImmediateRetries: true},
	"slow server":  {Load: burst, SlowService: "calendars", SlowFactor: 4},
	"grey server":  {Load: burst, SheddingService: "calendars", ShedFraction: 0.5},
	"all of them":  {Load: burst, Retries: 3, ImmediateRetries: true, SlowService: "calendars", SlowFactor: 4, SheddingService: "proofs", ShedFraction: 0.2},
}

// measure runs a scenario under a pattern. It returns the statistics after the
// warm-up, and the limit of the worth.
func measure(t *testing.T, s *optimum.Scenario, p overload.Pattern) (overload.Statistics, float64) {
	sim, err := overload.New(s, p, 1)
	require.NoError(t, err)
	sim.Run(warmUp)
	sim.ResetStatistics()
	sim.Run(measuredTime)
	limit, err := p.Limit(s)
	require.NoError(t, err)
	return sim.Statistics(), limit
}

// Guards against wasted work, rejections in the wrong priority order, queueing
// delays beyond the objective and retry amplification. Each pattern must reach
// 95% of the limit, with 13 and with 91 instances.
func TestWorthBesideTheLimit(t *testing.T) {
	for _, file := range []string{"regie.json", "regie-large.json"} {
		s, err := document.Load[optimum.Scenario](filepath.Join("..", "..", "..", "examples", "loads", file))
		require.NoError(t, err)
		for name, p := range patterns {
			t.Run(file+" "+name, func(t *testing.T) {
				t.Parallel()
				statistics, limit := measure(t, &s, p)
				t.Logf("worth %.3f of %.3f (%.3f), late %.3f, refused %.3f, runs wasted %.3f",
					statistics.Worth(), limit, statistics.Worth()/limit, statistics.LateRatio(), statistics.RefusedRatio(), statistics.WastedRatio())
				require.Greater(t, statistics.Worth(), minWorth*limit)
			})
		}
	}
}

// Guards against servers that get more requests than the limit which they name,
// with 13 and with 91 entry nodes, and against requests that are refused or late
// for it while other servers of the service have room.
func TestServersThatNameALimit(t *testing.T) {
	const window, perSecond = 4 * time.Second, 5.0
	for file, p := range map[string]overload.Pattern{
		"regie.json":       {Load: 0.5, LimitedService: "proofs", LimitedServers: 2, ServerRate: perSecond},
		"regie-large.json": {Load: 0.5, LimitedService: "catalogue", LimitedServers: 40, ServerRate: perSecond},
	} {
		s, err := document.Load[optimum.Scenario](filepath.Join("..", "..", "..", "examples", "loads", file))
		require.NoError(t, err)
		statistics, limit := measure(t, &s, p)
		most := statistics.MostLimited(window)
		t.Logf("%s: worth %.3f of %.3f, late %.3f, refused %.3f, at most %d requests in 4 s",
			file, statistics.Worth(), limit, statistics.LateRatio(), statistics.RefusedRatio(), most)
		require.LessOrEqual(t, float64(most), 1.5*perSecond*window.Seconds()+5)
		require.Greater(t, float64(most), 0.5*perSecond*window.Seconds(), "the servers get what they take")
		require.Greater(t, statistics.Worth(), minWorth*limit)
	}
}

// Guards against a limit that ignores a slow or a shedding server, or assumes
// more retries than the budget allows. If one of three servers sheds half of its
// requests and the budget is 20%, the capacity of 2.5 servers remains.
func TestLimitOfPatterns(t *testing.T) {
	s := &optimum.Scenario{
		Services: []optimum.Service{{Name: "calendars", Servers: 3, Slots: 10}},
		Classes:  []optimum.Class{{Name: "check", Service: "calendars", Work: 100, Rate: 300, Worth: 1}},
	}
	for want, p := range map[float64]overload.Pattern{
		1:         {},
		0.5:       {Load: 2},
		0.75:      {SlowService: "calendars", SlowFactor: 4},
		2.5 / 3.0: {SheddingService: "calendars", ShedFraction: 0.5},
	} {
		got, err := p.Limit(s)
		require.NoError(t, err)
		require.InDelta(t, want, got, 1e-9)
	}
}

// Guards against accepting patterns with unknown services or values out of range.
func TestInvalidPatternsAreRejected(t *testing.T) {
	s := &optimum.Scenario{Services: []optimum.Service{{Name: "calendars", Servers: 1, Slots: 1}}}
	for reason, p := range map[string]overload.Pattern{
		"load":                  {Load: -1},
		"returns":               {Retries: -1},
		"unknown service proof": {SlowService: "proof", SlowFactor: 2},
		"unknown service check": {SheddingService: "check"},
		"slow-by":               {SlowService: "calendars", SlowFactor: 0.5},
		"unknown service moves": {LimitedService: "moves"},
		"limited-servers":       {LimitedService: "calendars"},
		"server-rate":           {ServerRate: -1},
		"shed":                  {SheddingService: "calendars", ShedFraction: 1},
	} {
		_, err := overload.New(s, p, 1)
		var patternError *overload.PatternError
		require.ErrorAs(t, err, &patternError)
		require.ErrorContains(t, err, reason)
	}
}
