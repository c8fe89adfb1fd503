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

// Load: a service that is saturated by requests of one importance, some with an objective
// of 0.3 or 0.5 s, others with one of 1.5 s that need 4 to 8 of its answers one after
// another, and clients that retry at once. Guards against an order of the queue under
// which many requests begin and few end in time, and which serves less than the order by
// priority and arrival or lets more be late.
func TestOrderOfTheQueue(t *testing.T) {
	const (
		orderWarmUp = 4 * time.Second
		orderTime   = 8 * time.Second
		seeds       = 2
		maxLate     = 0.005
	)
	for file, l := range map[string]struct {
		load          float64
		urgent, other string
	}{
		"thistlegate-turns.json": {1.4, "submit-move", "board-view"},
		"cvetje-celje.json":      {2.2, "stock-check", "catalogue-browse"},
	} {
		t.Run(file, func(t *testing.T) {
			t.Parallel()
			s, err := document.Load[optimum.Scenario](filepath.Join("..", "..", "..", "examples", "loads", file))
			require.NoError(t, err)
			level := ""
			for _, c := range s.Classes {
				if c.Name == l.other {
					level = c.Level
				}
			}
			for i := range s.Classes {
				if s.Classes[i].Name == l.urgent {
					s.Classes[i].Level = level
				}
			}
			p := overload.Pattern{Load: l.load, Retries: 3, ImmediateRetries: true}
			p.Variation.Choice = overload.ByOutlook
			play := func(options ...overload.Option) (worth, late, wasted, urgent float64) {
				for seed := range uint64(seeds) {
					sim, err := overload.New(&s, p, seed+1, append(options, overload.WithPool())...)
					require.NoError(t, err)
					sim.Run(orderWarmUp)
					sim.ResetStatistics()
					sim.Run(orderTime)
					got := sim.Statistics()
					t.Logf("worth %.3f, late %.4f, refused %.3f, runs wasted %.3f, %s %.3f, %s %.3f",
						got.Worth(), got.LateRatio(), got.RefusedRatio(), got.WastedRatio(), l.urgent, got.Served(l.urgent), l.other, got.Served(l.other))
					worth += got.Worth() / seeds
					late += got.LateRatio() / seeds
					wasted += got.WastedRatio() / seeds
					urgent += got.Served(l.urgent) / seeds
				}
				return worth, late, wasted, urgent
			}
			worthBefore, _, wastedBefore, _ := play(overload.WithOrderOfArrival())
			worth, late, wasted, urgent := play()
			require.Greater(t, worth, worthBefore)
			require.Less(t, late, maxLate)
			require.Less(t, wasted, wastedBefore+0.005)
			require.Greater(t, urgent, 0.99)
		})
	}
}
