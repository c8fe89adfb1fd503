package allowance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/allowance"
	"github.com/papayapath/papayapath/pkg/importance"
)

// Guards against retries of all nodes together that exceed the budget in some
// window, wherever the window begins.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	const (
		ratio  = 0.2
		slack  = 40.0
		nodes  = 4
		window = 10 * time.Second
		step   = 10 * time.Millisecond
	)
	start := time.Unix(1000, 0)
	shares := make([]*allowance.Allowance, nodes)
	for i := range shares {
		shares[i] = allowance.New(ratio, slack, window)
	}
	var retries, requests []int
	for now := start; now.Before(start.Add(40 * time.Second)); now = now.Add(step) {
		sent := 0
		for _, a := range shares {
			a.Request(now)
			for a.Allows(now, nodes, importance.Critical, 1) {
				a.Spend(now, 1)
				sent++
			}
		}
		retries, requests = append(retries, sent), append(requests, nodes)
	}
	length := int(window / step)
	for i := 0; i+length <= len(retries); i++ {
		sum, base := 0, 0
		for k := i; k < i+length; k++ {
			sum += retries[k]
			base += requests[k]
		}
		require.LessOrEqual(t, float64(sum), ratio*float64(base)+slack, "window at %d", i)
	}
	require.NotZero(t, retries[0])
}

// Guards against a share that stays used up after its window has passed.
func TestShareReturns(t *testing.T) {
	start := time.Unix(1000, 0)
	a := allowance.New(0, 10, 10*time.Second)
	a.Spend(start, 10)
	require.False(t, a.Allows(start, 1, importance.Critical, 1))
	require.True(t, a.Allows(start.Add(11*time.Second), 1, importance.Critical, 1))
}

// Guards against a service all of whose servers shed half of their requests, so
// that less important requests, of which there are more, take the whole budget,
// and against a budget that is left unused without important requests.
func TestImportantRequestsFindSomeBudget(t *testing.T) {
	const requests, budget = 3000, 0.75 * (0.2*3000 + 40)
	for important, want := range map[int]map[importance.Level]float64{
		0: {importance.Normal: 0.4 * budget},
		4: {importance.Critical: 0.8 * budget},
	} {
		a := allowance.New(0.2, 40, 10*time.Second)
		granted := make(map[importance.Level]int)
		for i := range requests {
			now := time.Unix(1000, 0).Add(time.Duration(i) * 10 * time.Second / requests)
			a.Request(now)
			level := importance.Normal
			if important > 0 && i%important == 0 {
				level = importance.Critical
			}
			if i%4 < 2 && a.Allows(now, 1, level, 1) {
				a.Spend(now, 1)
				granted[level]++
			}
		}
		for level, least := range want {
			require.Greater(t, float64(granted[level]), least, "%d %s", important, level)
		}
	}
}
