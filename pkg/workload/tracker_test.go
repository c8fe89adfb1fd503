package workload_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/workload"
)

const limit = 40

var start = time.Date(2026, time.January, 5, 8, 0, 0, 0, time.UTC)

// sample returns a service time: 3 in 100 take seven times as long.
func sample(r *rand.Rand) time.Duration {
	v := math.Exp(0.5 * r.NormFloat64())
	if r.Float64() < 0.03 {
		v *= 7
	}
	return time.Duration(v * float64(57*time.Millisecond))
}

// learn returns a tracker that knows the service times, and the mean of them.
func learn(r *rand.Rand) (*workload.Tracker, time.Duration) {
	t := workload.New()
	var sum time.Duration
	const runs = 2000
	for range runs {
		var run workload.Run
		t.Start(start, 1, &run)
		d := sample(r)
		sum += d
		t.End(start.Add(d), &run, true)
	}
	return t, sum / runs
}

// Guards against a server whose slots are held by long requests and that looks like any
// other: the wait at a full server is compared with that of simulated servers that were
// filled at once, with fresh requests and with ones that have run for long.
func TestLongRunsDelayTheQueue(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	tracker, mean := learn(r)
	const queued = 30
	expected, simulated := make(map[bool]time.Duration), make(map[bool]time.Duration)
	for i, long := range []bool{false, true} {
		began, age := start.Add(time.Duration(i)*time.Minute), time.Duration(0)
		if long {
			age = 4 * mean
		}
		runs := make([]workload.Run, limit)
		for i := range runs {
			tracker.Start(began, 1, &runs[i])
		}
		now := began.Add(age)
		require.Zero(t, tracker.Wait(now, limit+1, 0))
		expected[long] = tracker.Wait(now, limit, queued)
		require.Greater(t, tracker.Remaining(now, queued), tracker.Remaining(now, 0))
		for i := range runs {
			tracker.End(now, &runs[i], false)
		}
		require.Zero(t, tracker.Remaining(now.Add(time.Second), 0))
		const plays = 200
		for range plays {
			simulated[long] += play(r, age, queued) / plays
		}
		t.Logf("long %v: expected %v, simulated %v", long, expected[long], simulated[long])
		require.InEpsilon(t, simulated[long], expected[long], 0.5)
	}
	require.Greater(t, expected[true], expected[false]*3/2)
}

// play returns the wait of a request behind others at a server whose running requests
// all have the given age.
func play(r *rand.Rand, age time.Duration, queued int) time.Duration {
	var free [limit]time.Duration // when each slot is free
	for i := range free {
		for free[i] <= age {
			free[i] = sample(r)
		}
		free[i] -= age
	}
	for range queued {
		i := earliest(&free)
		free[i] += sample(r)
	}
	return free[earliest(&free)]
}

func earliest(free *[limit]time.Duration) int {
	first := 0
	for i := range free {
		if free[i] < free[first] {
			first = i
		}
	}
	return first
}

// Guards against a wait without samples that is not a number, and a run that ends twice.
func TestWithoutSamples(t *testing.T) {
	tracker := workload.New()
	var run workload.Run
	tracker.End(start, &run, true)
	tracker.Start(start, 1, &run)
	tracker.Start(start, 1, &run)
	require.Zero(t, tracker.Wait(start, 1, 0))
	tracker.End(start, &run, false)
	tracker.End(start, &run, true)
	require.Zero(t, tracker.Remaining(start, 3))
}
