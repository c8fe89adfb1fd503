package window_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/window"
)

var start = time.Unix(1000, 0)

const (
	step        = time.Millisecond
	objective   = 1200 * time.Millisecond
	target      = objective / 8
	baseLatency = 300 * time.Millisecond // latency without queueing
)

// simulation models a FIFO bottleneck below several entry nodes, so the queueing
// delay of a request is given by the backlog at its arrival.
type simulation struct {
	windows    []*window.Window
	capacity   float64 // requests per second
	backlog    float64 // requests
	inFlight   []request
	admitted   int
	refused    int
	served     int
	queueDelay time.Duration
}

type request struct {
	window *window.Window
	sample window.Sample
	end    time.Time
}

func newSimulation(nodes int, capacity float64) *simulation {
	sim := &simulation{capacity: capacity}
	for range nodes {
		sim.windows = append(sim.windows, window.New(objective))
	}
	return sim
}

// run simulates arrivals at a constant rate, in requests per second, for the
// duration d and returns the end time.
func (sim *simulation) run(from time.Time, d time.Duration, rate float64) time.Time {
	sim.admitted, sim.refused, sim.served, sim.queueDelay = 0, 0, 0, 0
	arrivals, next := 0.0, 0
	now := from
	for ; now.Sub(from) < d; now = now.Add(step) {
		sim.backlog = max(0, sim.backlog-sim.capacity*step.Seconds())
		sim.complete(now)
		for arrivals += rate * step.Seconds(); arrivals >= 1; arrivals-- {
			next++
			sim.arrive(now, sim.windows[next%len(sim.windows)])
		}
	}
	return now
}

func (sim *simulation) arrive(now time.Time, win *window.Window) {
	if !win.Admit(now) {
		sim.refused++
		return
	}
	sim.admitted++
	delay := time.Duration(sim.backlog / sim.capacity * float64(time.Second))
	sim.backlog++
	sim.inFlight = append(sim.inFlight, request{window: win, sample: window.Sample{Start: now, QueueDelay: delay}, end: now.Add(baseLatency + delay)})
}

func (sim *simulation) complete(now time.Time) {
	remaining := sim.inFlight[:0]
	for _, r := range sim.inFlight {
		if r.end.After(now) {
			remaining = append(remaining, r)
			continue
		}
		r.window.End(now, r.sample)
		sim.served++
		sim.queueDelay += r.sample.QueueDelay
	}
	sim.inFlight = remaining
}

// Guards against refusals while the load is below the capacity of the
// bottleneck.
func TestNoRefusalBelowCapacity(t *testing.T) {
	sim := newSimulation(13, 400)
	sim.run(start, 20*time.Second, 380)
	require.Zero(t, sim.refused)
}

// Guards against late answers, an idle bottleneck and lasting refusals when a
// burst offers 1.7 times the capacity of the bottleneck. The excess must be
// refused at the entry nodes while the bottleneck stays busy, and all requests
// must be admitted again soon after the burst.
func TestBurstBeyondCapacity(t *testing.T) {
	for _, nodes := range []int{13, 91} {
		sim := newSimulation(nodes, 400)
		now := sim.run(start, 5*time.Second, 300)
		require.Zero(t, sim.refused)
		now = sim.run(now, 2*time.Second, 1.7*400)
		now = sim.run(now, 18*time.Second, 1.7*400)
		require.Greater(t, float64(sim.served), 0.95*18*400, "%d nodes: throughput of the bottleneck", nodes)
		require.Less(t, sim.queueDelay/time.Duration(sim.served), 2*target, "%d nodes: mean queueing delay", nodes)
		now = sim.run(now, 2*time.Second, 300)
		sim.run(now, 5*time.Second, 300)
		require.Zero(t, sim.refused, "%d nodes: refusals after the burst", nodes)
	}
}

// Guards against one slow server limiting a service that has free capacity: one
// request in ten sees a long queueing delay, the others see none.
func TestSlowServerDoesNotLimitService(t *testing.T) {
	w := window.New(objective)
	for i := range 2000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		require.True(t, w.Admit(now))
		s := window.Sample{Start: now.Add(-baseLatency)}
		if i%10 == 0 {
			s.QueueDelay = 3 * time.Second
		}
		w.End(now, s)
	}
	require.Zero(t, w.Size())
}

// Guards against admitting requests whose calls are refused downstream, and
// against a limit that stays after the refusals have ended.
func TestDownstreamRefusalsShrinkWindow(t *testing.T) {
	w := window.New(objective)
	admitted := func(from time.Time, refused bool) int {
		var open []window.Sample
		n := 0
		for i := range 400 { // 100 requests per second for 4 s
			now := from.Add(time.Duration(i) * 10 * time.Millisecond)
			for len(open) > 0 && now.Sub(open[0].Start) >= baseLatency {
				w.End(now, open[0])
				open = open[1:]
			}
			if w.Admit(now) {
				n++
				open = append(open, window.Sample{Start: now, Refused: refused})
			}
		}
		for range open {
			w.Release()
		}
		return n
	}
	require.Equal(t, 400, admitted(start, false))
	require.Less(t, admitted(start.Add(4*time.Second), true), 150)
	admitted(start.Add(8*time.Second), false)
	require.Equal(t, 400, admitted(start.Add(12*time.Second), false))
}

// Guards against counting requests that timed out or were canceled by their
// client as requests without queueing delay, which would grow the window under
// the heaviest overload.
func TestReleaseAddsNoSample(t *testing.T) {
	w := window.New(objective)
	for i := range 40 {
		now := start.Add(time.Duration(i) * baseLatency)
		require.True(t, w.Admit(now))
		w.End(now.Add(baseLatency), window.Sample{Start: now, QueueDelay: 2 * target})
	}
	size, delay := w.Size(), w.QueueDelay()
	require.NotZero(t, size)
	for range 100 {
		if w.Admit(start) {
			w.Release()
		}
	}
	require.Equal(t, size, w.Size())
	require.Equal(t, delay, w.QueueDelay())
	require.Zero(t, w.InFlight())
}

// Pattern: servers of the bottleneck leave during an overload, and a sample with
// an impossible delay is reported. It must neither lift the limit nor hide the
// congestion that follows.
func TestInvalidDelayDoesNotHideCongestion(t *testing.T) {
	const objective = 800 * time.Millisecond // target 100 ms
	now := time.Unix(1000, 0)
	w := window.New(objective)
	require.True(t, w.Admit(now))
	w.End(now, window.Sample{Start: now, QueueDelay: math.MinInt64})
	for range 40 {
		now = now.Add(10 * time.Millisecond)
		require.True(t, w.Admit(now))
		w.End(now, window.Sample{Start: now, QueueDelay: 300 * time.Millisecond})
		if w.Congested() {
			return
		}
	}
	require.Fail(t, "40 delayed requests do not count as congestion")
}
