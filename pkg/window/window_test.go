package window_test

import (
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
	w := &simulation{capacity: capacity}
	for range nodes {
		w.windows = append(w.windows, window.New(objective))
	}
	return w
}

// run simulates arrivals at a constant rate, in requests per second, for the
// duration d and returns the end time.
func (w *simulation) run(from time.Time, d time.Duration, rate float64) time.Time {
	w.admitted, w.refused, w.served, w.queueDelay = 0, 0, 0, 0
	arrivals, next := 0.0, 0
	now := from
	for ; now.Sub(from) < d; now = now.Add(step) {
		w.backlog = max(0, w.backlog-w.capacity*step.Seconds())
		w.complete(now)
		for arrivals += rate * step.Seconds(); arrivals >= 1; arrivals-- {
			next++
			w.arrive(now, w.windows[next%len(w.windows)])
		}
	}
	return now
}

func (w *simulation) arrive(now time.Time, win *window.Window) {
	if !win.Admit(now) {
		w.refused++
		return
	}
	w.admitted++
	delay := time.Duration(w.backlog / w.capacity * float64(time.Second))
	w.backlog++
	w.inFlight = append(w.inFlight, request{window: win, sample: window.Sample{Start: now, QueueDelay: delay}, end: now.Add(baseLatency + delay)})
}

func (w *simulation) complete(now time.Time) {
	remaining := w.inFlight[:0]
	for _, r := range w.inFlight {
		if r.end.After(now) {
			remaining = append(remaining, r)
			continue
		}
		r.window.End(now, r.sample)
		w.served++
		w.queueDelay += r.sample.QueueDelay
	}
	w.inFlight = remaining
}

// Guards against refusals while the load is below the capacity of the
// bottleneck.
func TestNoRefusalBelowCapacity(t *testing.T) {
	w := newSimulation(13, 400)
	w.run(start, 20*time.Second, 380)
	require.Zero(t, w.refused)
}

// Guards against late answers, an idle bottleneck and lasting refusals when a
// burst offers 1.7 times the capacity of the bottleneck. The excess must be
// refused at the entry nodes while the bottleneck stays busy, and all requests
// must be admitted again soon after the burst.
func TestBurstBeyondCapacity(t *testing.T) {
	for _, nodes := range []int{13, 91} {
		w := newSimulation(nodes, 400)
		now := w.run(start, 5*time.Second, 300)
		require.Zero(t, w.refused)
		now = w.run(now, 2*time.Second, 1.7*400)
		now = w.run(now, 18*time.Second, 1.7*400)
		require.Greater(t, float64(w.served), 0.95*18*400, "%d nodes: throughput of the bottleneck", nodes)
		require.Less(t, w.queueDelay/time.Duration(w.served), 2*target, "%d nodes: mean queueing delay", nodes)
		now = w.run(now, 2*time.Second, 300)
		w.run(now, 5*time.Second, 300)
		require.Zero(t, w.refused, "%d nodes: refusals after the burst", nodes)
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
