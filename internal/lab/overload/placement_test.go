package overload_test

import (
	"maps"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/document"
	"github.com/papayapath/papayapath/internal/lab/optimum"
	"github.com/papayapath/papayapath/internal/lab/overload"
)

const (
	// longObjective is that of four requests in five to the stock service.
	longObjective = 1500 * time.Millisecond
	// maxLoss is the fraction of the answers within their objective that the choice of
	// servers may lose against the best one: in undisturbed operation, no kind of request
	// loses more than 1 in 100.
	maxLoss = 0.01
	// noise is the difference of worth that the seeds of one load make.
	noise = 0.003
)

// stock returns a service whose requests have a short or a long objective and come
// through callers of another one. The utilization is that of the slots at speed 1.
func stock(servers, callers int, utilization float64, shortObjective time.Duration) *optimum.Scenario {
	const slots, short, long = 100, 78.0, 57.0
	rate := utilization * float64(servers*slots) * 1000 / (short + 4*long)
	return &optimum.Scenario{
		Services: []optimum.Service{{Name: "stock", Servers: servers, Slots: slots}, {Name: "front", Servers: callers, Slots: 100}},
		Classes: []optimum.Class{
			{Name: "check", Service: "stock", Work: short, Rate: rate, Worth: 1, Objective: float64(shortObjective.Milliseconds()), Timeout: 1200, Level: "high"},
			{Name: "browse", Service: "stock", Work: long, Rate: 4 * rate, Worth: 1, Objective: float64(longObjective.Milliseconds()), Timeout: 5000},
		},
	}
}

// variation returns servers of unequal speed and requests of which 3 in 100 take seven
// times the mean, with some changes.
func variation(changes ...func(*overload.Variation)) overload.Variation {
	v := overload.Variation{Domains: 4, Spread: 0.5, TailShare: 0.03, TailFactor: 7, Speeds: []float64{0.5, 0.8, 1.2, 1.5}}
	for _, change := range changes {
		change(&v)
	}
	return v
}

// equalSpeeds makes all servers equally fast.
func equalSpeeds(v *overload.Variation) { v.Speeds = nil }

func staleReports(interval time.Duration) func(*overload.Variation) {
	return func(v *overload.Variation) { v.ReportInterval = interval }
}

// run plays a load with a choice of servers.
func run(t *testing.T, s *optimum.Scenario, v overload.Variation, choice overload.Choice) overload.Statistics {
	v.Choice = choice
	sim, err := overload.New(s, overload.Pattern{Variation: v}, 1)
	require.NoError(t, err)
	sim.Run(warmUp)
	sim.ResetStatistics()
	sim.Run(measuredTime)
	statistics := sim.Statistics()
	t.Logf("by %-7s worth %.4f, late %.4f, refused %.4f, 99 in 100 within %v, crossing %.3f", [...]string{"load", "outlook", "size"}[choice],
		statistics.Worth(), statistics.LateRatio(), statistics.RefusedRatio(), statistics.Percentile(0.99).Round(time.Millisecond), statistics.CrossingRatio(""))
	return statistics
}

// Guards against a choice of servers by expected outcome that serves less than the one
// by load or loses more than 1 in 100 against the one that knows all sizes, that leaves
// the failure domain of the caller as often as the one by load, and with which callers
// with old reports choose the same server.
func TestPlacement(t *testing.T) {
	const objective = 300 * time.Millisecond
	for name, l := range map[string]struct {
		scenario  *optimum.Scenario
		variation overload.Variation
	}{
		"unequal speeds":     {stock(4, 60, 0.4, objective), variation()},
		"waves":              {stock(4, 60, 0.5, objective), variation(func(v *overload.Variation) { v.Wave = 0.55 })},
		"slow third":         {stock(12, 60, 0.5, objective), variation(func(v *overload.Variation) { v.Speeds = []float64{1, 1, 0.4} })},
		"heavy tail":         {stock(8, 60, 0.6, objective), variation(equalSpeeds, func(v *overload.Variation) { v.Spread = 0.8 })},
		"cold servers":       {stock(8, 60, 0.5, objective), variation(equalSpeeds, func(v *overload.Variation) { v.ColdService = "stock" })},
		"noisy server":       {stock(8, 60, 0.5, objective), variation(equalSpeeds, func(v *overload.Variation) { v.NoisyService = "stock" })},
		"many callers":       {stock(4, 90, 0.7, objective), variation(equalSpeeds)},
		"reports 200 ms old": {stock(4, 90, 0.7, objective), variation(staleReports(200 * time.Millisecond))},
		"reports 2 s old":    {stock(4, 90, 0.7, objective), variation(staleReports(2 * time.Second))},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			present := run(t, l.scenario, l.variation, overload.ByLoad)
			got := run(t, l.scenario, l.variation, overload.ByOutlook)
			best := run(t, l.scenario, l.variation, overload.KnownSize)
			require.GreaterOrEqual(t, got.Worth(), present.Worth()-noise)
			require.GreaterOrEqual(t, got.Worth(), best.Worth()-maxLoss)
			require.Less(t, got.Percentile(0.99), longObjective/2)
			require.Less(t, got.CrossingRatio(""), 0.75*present.CrossingRatio(""))
		})
	}
}

// Guards against a slow server in the failure domain of the caller that gets requests
// which only the fast one in the other domain answers in time, and against ones that
// leave the domain although there is time. Half of the callers are beside the slow one.
func TestNearSlowServerAndFarFastOne(t *testing.T) {
	for objective, bounds := range map[time.Duration][2]float64{150 * time.Millisecond: {0.4, 0.55}, 1200 * time.Millisecond: {0, 0.15}} {
		s := stock(2, 20, 0.3, objective)
		v := variation(func(v *overload.Variation) { v.Domains, v.Speeds = 2, []float64{0.5, 1.5} })
		got := run(t, s, v, overload.ByOutlook)
		t.Logf("objective %v: %.3f of the requests leave their domain", objective, got.CrossingRatio("check"))
		require.GreaterOrEqual(t, got.CrossingRatio("check"), bounds[0])
		require.LessOrEqual(t, got.CrossingRatio("check"), bounds[1])
		require.Less(t, got.CrossingRatio("browse"), 0.15)
		require.Greater(t, got.Worth(), run(t, s, v, overload.ByLoad).Worth()-noise)
	}
}

// Guards against a choice by expected outcome under which a slow server, a shedding one
// or a peak of the load costs more than the goal of TestWorthBesideTheLimit allows, which
// has the figures of the choice by load. The worth is the mean of some seeds, which differ
// by up to 0.014.
func TestWorthByOutlook(t *testing.T) {
	for file, load := range map[string]struct {
		seeds    int
		patterns []string
	}{
		"regie.json":       {4, slices.Collect(maps.Keys(patterns))},
		"regie-large.json": {1, []string{"slow server", "all of them"}},
	} {
		s, err := document.Load[optimum.Scenario](filepath.Join("..", "..", "..", "examples", "loads", file))
		require.NoError(t, err)
		for _, name := range load.patterns {
			t.Run(file+" "+name, func(t *testing.T) {
				t.Parallel()
				p := patterns[name]
				p.Variation.Choice = overload.ByOutlook
				limit, err := p.Limit(&s)
				require.NoError(t, err)
				worth := 0.0
				for seed := range load.seeds {
					sim, err := overload.New(&s, p, uint64(1+seed))
					require.NoError(t, err)
					sim.Run(warmUp)
					sim.ResetStatistics()
					sim.Run(measuredTime)
					statistics := sim.Statistics()
					worth += statistics.Worth() / float64(load.seeds)
					t.Logf("worth %.3f of %.3f (%.3f), late %.3f, refused %.3f, crossing %.3f",
						statistics.Worth(), limit, statistics.Worth()/limit, statistics.LateRatio(), statistics.RefusedRatio(), statistics.CrossingRatio(""))
				}
				t.Logf("mean %.3f", worth/limit)
				require.Greater(t, worth, minWorth*limit)
			})
		}
	}
}
