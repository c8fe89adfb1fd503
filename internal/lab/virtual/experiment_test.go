package virtual_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/lab/checker"
	"github.com/papayapath/papayapath/internal/lab/deployment"
	"github.com/papayapath/papayapath/internal/lab/figures"
	"github.com/papayapath/papayapath/internal/lab/virtual"
)

// Targets from section 2 of the design.
const (
	targetShare    = 0.95
	targetRecovery = 2.0 // s
)

// Guards against loss of goodput during the disturbance, slow recovery and
// violated delivery guarantees, on both deployments.
func TestDisturbance(t *testing.T) {
	for _, d := range deployment.All() {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprintf("%s/%d", d.Name(), seed), func(t *testing.T) {
				t.Parallel()
				f, sim := virtual.RunExperiment(d, seed, figures.DefaultSchedule())
				t.Logf("goodput %.1f/s share %.3f recovery %.1f s amplification %.2f wasted %.2f verdict %+v reasons %v",
					f.Goodput, f.LimitShare, f.Recovery, f.Amplification, f.WastedShare, f.Verdict, sim.OutcomeCounts())
				require.Equal(t, checker.Verdict{}, f.Verdict)
				require.GreaterOrEqual(t, f.LimitShare, targetShare)
				require.True(t, f.Recovered)
				require.LessOrEqual(t, f.Recovery, targetRecovery)
			})
		}
	}
}

// Guards against a simulation that is not deterministic for a given seed, which
// would make tests flaky.
func TestSimulationIsDeterministic(t *testing.T) {
	timeline := figures.Schedule{WarmUp: 1e9, Steady: 1e9, Disturbance: 1e9, Recovery: 1e9}
	first, _ := virtual.RunExperiment(deployment.Regie(), 7, timeline)
	second, _ := virtual.RunExperiment(deployment.Regie(), 7, timeline)
	require.Equal(t, first, second)
}
