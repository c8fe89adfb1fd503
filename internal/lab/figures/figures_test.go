package figures_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/lab/figures"
	"github.com/papayapath/papayapath/internal/lab/history"
	"github.com/papayapath/papayapath/internal/lab/wire"
	"github.com/papayapath/papayapath/pkg/importance"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

var phases = figures.PhaseTimes{
	WarmUp: at(0), Steady: at(2), Disturbance: at(5), Recovery: at(9), End: at(17),
}

// newHistory returns a history of 100 requests per second with two executions
// each. Requests for which fails returns true are refused. The others are
// answered after 10 ms, or after 510 ms in the first second after the
// disturbance if slow is set.
func newHistory(slow bool, fails func(arrived float64) bool) *history.History {
	latency := func(arrived float64) float64 {
		if slow && arrived >= 9 && arrived < 10 {
			return 0.51
		}
		return 0.01
	}
	h := history.New()
	for i := range 1700 {
		arrived := float64(i) / 100
		root := strconv.Itoa(i)
		h.RecordImportance(root, importance.High)
		for range 2 {
			h.Start(history.Run{Identity: wire.Identity{Root: root}, Service: "s", Start: at(arrived)})
		}
		r := history.Request{Root: root, Service: "s", Arrived: at(arrived), Deadline: time.Second}
		if fails(arrived) {
			h.RecordRefusal(history.Refusal{Root: root, Service: "s", At: at(arrived)})
		} else {
			r.Completed = at(arrived + latency(arrived))
		}
		h.RecordRequest(r)
	}
	return h
}

var parameters = figures.Parameters{Deployment: "regie", Variant: "naive", Seed: 1, Limit: 200}

// Guards against results that don't follow their definition in section 11 of
// the design.
func TestFigures(t *testing.T) {
	failing := func(s float64) bool { return s >= 5 && s < 7 }
	f := figures.New(parameters, phases, newHistory(false, failing))
	require.Equal(t, 1700, f.Requests)
	require.InDelta(t, 100, f.SteadyGoodput, 1)
	require.InDelta(t, 50, f.Goodput, 1)
	require.InDelta(t, 100, f.RecoveryGoodput, 1)
	require.InDelta(t, 0.25, f.LimitShare, 0.01)
	require.InDelta(t, 2, f.Amplification, 0)
	require.InDelta(t, 200.0/1700, f.WastedShare, 0.001)
	require.InDelta(t, 10, f.Steady.P99, 0.1)
	require.True(t, f.Recovered)
	require.Zero(t, f.Recovery)
	require.InDelta(t, 0, f.Series.Goodput[60], 0)
	require.InDelta(t, 100, f.Series.Goodput[80], 30)
	require.InDelta(t, 100, f.Series.Refusals[importance.High][60], 30)
	require.InDelta(t, 0, f.Series.Refusals[importance.High][80], 0)
	require.Equal(t, []float64{5, 9}, []float64{f.Series.DisturbanceStart, f.Series.DisturbanceEnd})
}

// Guards against a recovery that is reported although goodput drops again
// within 5 s, and against one reported too early or not at all.
func TestRecovery(t *testing.T) {
	for name, c := range map[string]struct {
		slow      bool
		fails     func(s float64) bool
		want      float64
		recovered bool
	}{
		"immediate recovery":             {false, func(s float64) bool { return s >= 5 && s < 9 }, 0, true},
		"after two seconds":              {false, func(s float64) bool { return s >= 5 && s < 11 }, 2, true},
		"relapse":                        {false, func(s float64) bool { return s >= 5 && s < 9.5 || s >= 10.2 && s < 10.8 }, 1.8, true},
		"relapse within 5 s":             {false, func(s float64) bool { return s >= 5 && s < 10 || s >= 13 && s < 14 }, 8, false},
		"never":                          {false, func(s float64) bool { return s >= 5 }, 8, false},
		"no goodput in the steady phase": {false, func(float64) bool { return true }, 8, false},
		"delayed responses":              {true, func(s float64) bool { return s >= 5 && s < 9 }, 0.5, true},
	} {
		f := figures.New(parameters, phases, newHistory(c.slow, c.fails))
		require.Equal(t, c.recovered, f.Recovered, name)
		require.InDelta(t, c.want, f.Recovery, 0.11, name)
	}
}
