package allowance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/allowance"
	"github.com/papayapath/papayapath/pkg/importance"
)

// Guards against more retries than the budget in any window of an observer, whatever its
// start, when retries come in bursts as soon as the budget allows them, and against a
// budget that is taken away when requests are turned away at the entry.
func TestExactCountInAnyWindow(t *testing.T) {
	const (
		ratio, slack = 0.2, 24.0
		window       = 10 * time.Second
		step         = 20 * time.Millisecond
		steps        = int(window / step)
		perStep      = 4
	)
	a := allowance.New(ratio, slack, window, allowance.WithEarlierRequests(), allowance.WithExactCount())
	var retries []int
	duringShedding := 0
	for i := range 6 * steps {
		now := time.Unix(1000, 0).Add(730*time.Millisecond + time.Duration(i)*step)
		isShedding := i >= 2*steps && i < 2*steps+4*steps/5
		if !isShedding || i%10 == 0 {
			a.Requests(now, perStep)
		}
		sent := 0
		for i > 2*steps && i%40 < 5 && a.Allows(now, 1, importance.Critical, 1) {
			a.Spend(now, 1)
			sent++
		}
		if retries = append(retries, sent); isShedding {
			duringShedding += sent
		}
	}
	budget := ratio*perStep*float64(steps) + slack
	for i := range len(retries) - steps {
		sum := 0
		for _, n := range retries[i : i+steps] {
			sum += n
		}
		require.LessOrEqual(t, float64(sum), budget, "window at %d", i)
	}
	require.Greater(t, float64(duringShedding), 0.9*budget)
}
