package experiment_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/papayapath/papayapath/internal/lab/deployment"
	"github.com/papayapath/papayapath/internal/lab/experiment"
	"github.com/papayapath/papayapath/internal/lab/figures"
)

// The cleaner goroutines of the fasthttp client end by themselves after 10 s.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"))
}

// shortTimeline is too short for meaningful figures.
var shortTimeline = figures.Schedule{
	WarmUp: 200 * time.Millisecond, Steady: 200 * time.Millisecond,
	Disturbance: 200 * time.Millisecond, Recovery: 200 * time.Millisecond,
}

// Guards against an experiment that measures nothing, attributes figures to
// the wrong deployment or variant, or leaks goroutines. The run is too short
// to evaluate the figures themselves.
func TestAll(t *testing.T) {
	all, err := experiment.All(context.Background(), deployment.All(),
		[]experiment.Variant{experiment.Naive()}, experiment.WithTimeline(shortTimeline))
	require.NoError(t, err)
	require.Len(t, all, 2)
	require.Equal(t, []string{"nilegear", "regie"}, []string{all[0].Deployment, all[1].Deployment})
	require.Equal(t, []int{93, 125}, []int{all[0].Limit, all[1].Limit})
	for _, f := range all {
		require.Equal(t, "naive", f.Variant)
		require.Positive(t, f.Requests)
		require.Zero(t, f.Verdict.Partials+f.Verdict.Foreign)
		require.False(t, f.Recovered, "the recovery phase is shorter than 5 s")
	}
}

// Guards against an experiment that continues after its context has ended.
func TestRunEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := experiment.New(deployment.Regie(), experiment.Naive()).Run(ctx)
	require.ErrorIs(t, err, context.DeadlineExceeded)
}
