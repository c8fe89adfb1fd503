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
	// shedStart leaves a window of the retry budget for undisturbed requests.
	shedStart = 12 * time.Second
	// calmTime is the part of it in which the undisturbed load is measured.
	calmTime = 3 * time.Second
	shedTime = 8 * time.Second
	// recoveryTime is the time within which all requests are to be admitted again.
	recoveryTime = time.Second
	// minShedWorth is the required fraction of the limit. The limit knows beforehand how
	// long the trouble lasts, and spends no retries on the less important requests that
	// are in progress when it begins.
	minShedWorth = 0.87
	// maxShedLoss is the largest part of the worth that may be lost after the recovery.
	// Clients that were refused last return then, an overload of its own.
	maxShedLoss = 0.1
	// maxWasted is the largest part of the runs that may fail for a call.
	maxWasted = 0.02
)

// sheddingPatterns are loads under which all servers of the bottleneck shed. Without the
// pool, a third to a half of the runs are wasted.
var sheddingPatterns = map[string]overload.Pattern{
	"shed 0.45": {Load: 0.75, ShedFraction: 0.45},
	"shed 0.6":  {Load: 0.75, ShedFraction: 0.6},
	"burst":     {Load: 1.3, ShedFraction: 0.5, Retries: 3, ImmediateRetries: true},
}

// Guards against requests that are begun though the retry budget can't carry them, and
// fail after most of their work; against urgent requests that lose because less urgent
// ones have used up the budget; against more retries than the budget allows, and against
// refusals that last after the trouble. All four servers of the bottleneck shed for 8 s,
// and a request needs 4 to 8 answers of them.
func TestAllServersShed(t *testing.T) {
	for file, l := range map[string]struct{ bottleneck, urgent, other string }{
		"thistlegate-turns.json": {"moves", "submit-move", "board-view"},
		"cvetje-celje.json":      {"zaloga", "order-place", "catalogue-browse"},
	} {
		s, err := document.Load[optimum.Scenario](filepath.Join("..", "..", "..", "examples", "loads", file))
		require.NoError(t, err)
		for name, p := range sheddingPatterns {
			p.SheddingService, p.SheddingServers, p.ShedStart, p.ShedTime = l.bottleneck, 4, shedStart, shedTime
			t.Run(file+" "+name, func(t *testing.T) {
				t.Parallel()
				limit, err := p.Limit(&s)
				require.NoError(t, err)
				sim, err := overload.New(&s, p, 1, overload.WithPool())
				require.NoError(t, err)
				sim.Run(shedStart - calmTime)
				sim.ResetStatistics()
				sim.Run(calmTime)
				calm := sim.Statistics()
				sim.ResetStatistics()
				sim.Run(shedTime)
				shed := sim.Statistics()
				sim.Run(recoveryTime)
				sim.ResetStatistics()
				sim.Run(calmTime)
				after := sim.Statistics()
				t.Logf("worth %.3f of %.3f (%.3f), runs wasted %.3f, %s %.3f, %s %.3f, budget used %.3f, worth before %.3f, after %.3f",
					shed.Worth(), limit, shed.Worth()/limit, shed.WastedRatio(), l.urgent, shed.Served(l.urgent), l.other, shed.Served(l.other),
					sim.BudgetUse(l.bottleneck), calm.Worth(), after.Worth())
				require.Greater(t, shed.Worth(), minShedWorth*limit)
				require.Less(t, shed.WastedRatio(), maxWasted)
				require.Greater(t, shed.Served(l.urgent), shed.Served(l.other)+0.3)
				require.LessOrEqual(t, sim.BudgetUse(l.bottleneck), 1.0)
				require.Greater(t, after.Worth(), calm.Worth()-maxShedLoss)
			})
		}
	}
}

// Guards against repeats beyond the retry budget of a service that sheds nothing itself:
// the calls of a run that is a repeat count as repeats too, however deep they are.
func TestRepeatsBelowSheddingService(t *testing.T) {
	for _, file := range []string{"regie.json", "cvetje-celje.json", "thistlegate-turns.json"} {
		s, err := document.Load[optimum.Scenario](filepath.Join("..", "..", "..", "examples", "loads", file))
		require.NoError(t, err)
		for _, v := range s.Services {
			t.Run(file+" "+v.Name, func(t *testing.T) {
				t.Parallel()
				p := overload.Pattern{
					Load: 0.8, SheddingService: v.Name, SheddingServers: v.Servers, ShedFraction: 0.3, ShedStart: shedStart, ShedTime: 2 * shedTime,
				}
				sim, err := overload.New(&s, p, 1, overload.WithPool())
				require.NoError(t, err)
				sim.Run(shedStart + 2*shedTime + recoveryTime)
				for _, other := range s.Services {
					use := sim.BudgetUse(other.Name)
					t.Logf("%s: budget used %.3f", other.Name, use)
					require.LessOrEqual(t, use, 1.0, other.Name)
				}
			})
		}
	}
}
