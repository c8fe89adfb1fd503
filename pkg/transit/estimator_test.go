package transit_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/transit"
)

var start = time.Unix(1000, 0)

const millisecond = time.Millisecond

// Pattern: a link stalls, or the receiver is paused, and a batch of messages is
// read late. Each has lost the time for which it was held up, whatever the
// difference of the clocks.
func TestDelayOfStalledMessages(t *testing.T) {
	for _, clock := range []time.Duration{0, time.Hour, -time.Hour} {
		var e transit.Estimator
		for i := range 10 {
			sent := time.Duration(i) * 100 * millisecond
			require.Zero(t, e.Delay(start.Add(sent+2*millisecond), clock+sent))
		}
		resumed := start.Add(4 * time.Second)
		for i := 10; i < 40; i++ {
			sent := time.Duration(i) * 100 * millisecond
			require.Equal(t, 4*time.Second-sent-2*millisecond, e.Delay(resumed, clock+sent))
		}
	}
}

// Guards against a first message that was late and makes all others look early.
func TestFasterMessageBecomesTheBase(t *testing.T) {
	var e transit.Estimator
	require.Zero(t, e.Delay(start, 0))
	require.Zero(t, e.Delay(start.Add(50*millisecond), 100*millisecond))
	require.Equal(t, 50*millisecond, e.Delay(start.Add(200*millisecond), 200*millisecond))
}

// Guards against clocks of different rates, which would add up to a large delay
// on a link that stays open for days.
func TestDriftIsForgotten(t *testing.T) {
	var e transit.Estimator
	const drift = 100e-6
	for s := range 24 * 3600 {
		sent := time.Duration(s) * time.Second
		now := start.Add(sent + time.Duration(drift*float64(sent)))
		require.LessOrEqual(t, e.Delay(now, sent), 7*millisecond)
	}
}

// Guards against a reading of the sender that gives an offer more time than it
// states.
func TestDelayIsNeverNegative(t *testing.T) {
	readings := []time.Duration{math.MinInt64, math.MaxInt64, 0, -1, 1}
	for _, a := range readings {
		for _, b := range readings {
			var e transit.Estimator
			e.Delay(start, a)
			require.GreaterOrEqual(t, e.Delay(start.Add(time.Second), b), time.Duration(0), "%d %d", a, b)
		}
	}
}
