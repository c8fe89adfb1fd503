package allowance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/allowance"
	"github.com/papayapath/papayapath/pkg/importance"
)

// Guards against retries of all nodes that together exceed the budget within a
// window, whatever the start of the window.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	const (
		ratio  = 0.2
		slack  = 40.0
		nodes  = 4
		window = 10 * time.Second
		step   = 10 * time.Millisecond
	)
	start := time.Unix(1000, 0)
	allowances := make([]*allowance.Allowance, nodes)
	for i := range allowances {
		allowances[i] = allowance.New(ratio, slack, window)
	}
	var retries, requests []int
	for now := start; now.Before(start.Add(40 * time.Second)); now = now.Add(step) {
		sent := 0
		for _, a := range allowances {
			a.Request(now)
			for a.Allows(now, nodes, importance.Critical, 1) {
				a.Spend(now, 1)
				sent++
			}
		}
		retries, requests = append(retries, sent), append(requests, nodes)
	}
	steps := int(window / step)
	for i := 0; i+steps <= len(retries); i++ {
		sumRetries, sumRequests := 0, 0
		for k := i; k < i+steps; k++ {
			sumRetries += retries[k]
			sumRequests += requests[k]
		}
		require.LessOrEqual(t, float64(sumRetries), ratio*float64(sumRequests)+slack, "window at %d", i)
	}
	require.NotZero(t, retries[0])
}

// Guards against an allowance that is not replenished after its window.
func TestAllowanceIsReplenished(t *testing.T) {
	start := time.Unix(1000, 0)
	a := allowance.New(0, 10, 10*time.Second)
	a.Spend(start, 10)
	require.False(t, a.Allows(start, 1, importance.Critical, 1))
	require.True(t, a.Allows(start.Add(11*time.Second), 1, importance.Critical, 1))
}

// Guards against less important requests that exhaust the budget because there
// are more of them, when all servers shed half of their requests, and against a
// budget that stays unused while there are no important requests.
func TestBudgetIsReservedForImportantRequests(t *testing.T) {
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
		for level, minimum := range want {
			require.Greater(t, float64(granted[level]), minimum, "%d %s", important, level)
		}
	}
}
