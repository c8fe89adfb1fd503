package intake_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/intake"
	"github.com/papayapath/papayapath/pkg/notice"
)

var (
	start = time.Unix(1000, 0)
	none  = notice.Notice{}
)

func limit(perSecond float64) notice.Notice { return notice.Notice{Limited: true, Rate: perSecond} }

// sendAll sends as many requests as i allows, trying at random moments, and
// returns the times at which they were sent.
func sendAll(i *intake.Intake, r *rand.Rand, from time.Time, d time.Duration) []time.Time {
	var sent []time.Time
	for now := from; now.Before(from.Add(d)); now = now.Add(time.Duration(r.Int64N(int64(30 * time.Millisecond)))) {
		for i.Delay(now) == 0 {
			i.Take(now)
			sent = append(sent, now)
		}
	}
	return sent
}

// Guards against a server that gets more requests in some 4 s than one and a half
// times its limit and 5, and against one that gets much less than it takes,
// whatever the limit and when the requests arrive.
func TestRateOfAnyWindow(t *testing.T) {
	const window, day = 4 * time.Second, 20 * time.Second
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 0))
		perSecond := []float64{0, 0.1, 0.3, 1, 4.7, 12, 31.6, 250, 4000}[r.IntN(9)]
		var i intake.Intake
		if r.IntN(2) == 0 {
			i.Adopt(start, perSecond)
		}
		i.Observe(start, start, limit(perSecond))
		sent := sendAll(&i, r, start, day)
		first := 0
		for last := range sent {
			for sent[last].Sub(sent[first]) >= window {
				first++
			}
			require.LessOrEqual(t, float64(last-first+1), 1.5*perSecond*window.Seconds()+5, "seed %d, limit %v", seed, perSecond)
		}
		require.GreaterOrEqual(t, float64(len(sent)), 0.95*perSecond*day.Seconds()-2, "seed %d, limit %v", seed, perSecond)
		require.NotEmpty(t, sent, "a server with any limit gets requests whose answers may end it")
	}
}

// Guards against a limit that outlasts the answers that name it, and against one
// that ends with a single answer that was overtaken.
func TestEndOfLimit(t *testing.T) {
	var i intake.Intake
	require.Zero(t, i.Delay(start))
	i.Observe(start, start, limit(1))
	require.NotZero(t, i.Delay(start))
	for range 10 {
		i.Observe(start.Add(time.Second), start.Add(-time.Second), none)
	}
	_, limited := i.Rate()
	require.True(t, limited, "requests sent before the limit was named")
	after := start.Add(time.Second)
	i.Observe(after, after, none)
	i.Observe(after, after, none)
	i.Observe(after, after, limit(2))
	for range 2 {
		i.Observe(after.Add(time.Second), after.Add(time.Second), none)
		_, limited = i.Rate()
		require.True(t, limited)
	}
	i.Observe(after.Add(time.Second), after.Add(time.Second), none)
	_, limited = i.Rate()
	require.False(t, limited)
	require.Zero(t, i.Delay(after.Add(time.Second)))
}

// Guards against a report of another node that replaces what the server itself
// has said since.
func TestOwnAnswersOverrideReports(t *testing.T) {
	var i intake.Intake
	i.Observe(start, start, none)
	i.Adopt(start, 5)
	_, limited := i.Rate()
	require.False(t, limited)

	var restarted intake.Intake
	restarted.Adopt(start, 5)
	restarted.Adopt(start, 500)
	rate, limited := restarted.Rate()
	require.True(t, limited)
	require.InDelta(t, 5, rate, 0)
	restarted.Observe(start, start, limit(7))
	rate, _ = restarted.Rate()
	require.InDelta(t, 7, rate, 0)
}

// Guards against a burst after a process was paused.
func TestPauseGrantsNoBurst(t *testing.T) {
	var i intake.Intake
	i.Observe(start, start, limit(20))
	sent := sendAll(&i, rand.New(rand.NewPCG(1, 1)), start.Add(30*time.Second), time.Millisecond)
	require.LessOrEqual(t, len(sent), 6)
}
