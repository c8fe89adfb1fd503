package window_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/window"
)

var start = time.Unix(1000, 0)

const (
	step      = time.Millisecond
	objective = 1200 * time.Millisecond
	target    = objective / 8
	base      = 300 * time.Millisecond // time of a request that does not wait
)

// world is a bottleneck below several entry nodes. It serves requests in the
// order in which they come, so its backlog is what each of them waits.
type world struct {
	windows  []*window.Window
	capacity float64 // requests per second
	backlog  float64 // requests
	open     []request
	admitted int
	refused  int
	served   int
	waited   time.Duration
}

type request struct {
	window *window.Window
	sample window.Sample
	end    time.Time
}

func newWorld(nodes int, capacity float64) *world {
	w := &world{capacity: capacity}
	for range nodes {
		w.windows = append(w.windows, window.New(objective))
	}
	return w
}

// run lets requests arrive at a rate for a time.
func (w *world) run(from time.Time, d time.Duration, rate float64) time.Time {
	w.admitted, w.refused, w.served, w.waited = 0, 0, 0, 0
	due, turn := 0.0, 0
	now := from
	for ; now.Sub(from) < d; now = now.Add(step) {
		w.backlog = max(0, w.backlog-w.capacity*step.Seconds())
		w.finish(now)
		for due += rate * step.Seconds(); due >= 1; due-- {
			turn++
			w.arrive(now, w.windows[turn%len(w.windows)])
		}
	}
	return now
}

func (w *world) arrive(now time.Time, at *window.Window) {
	if !at.Admit(now) {
		w.refused++
		return
	}
	w.admitted++
	delay := time.Duration(w.backlog / w.capacity * float64(time.Second))
	w.backlog++
	w.open = append(w.open, request{window: at, sample: window.Sample{Start: now, QueueDelay: delay}, end: now.Add(base + delay)})
}

func (w *world) finish(now time.Time) {
	rest := w.open[:0]
	for _, r := range w.open {
		if r.end.After(now) {
			rest = append(rest, r)
			continue
		}
		r.window.End(now, r.sample)
		w.served++
		w.waited += r.sample.QueueDelay
	}
	w.open = rest
}

// Guards against refusals while the services below have room.
func TestNoRefusalBelowTheLimit(t *testing.T) {
	w := newWorld(13, 400)
	w.run(start, 20*time.Second, 380)
	require.Zero(t, w.refused)
}

// Guards against a burst of 1.7 times what the bottleneck serves: requests
// beyond it have to be refused at the entry before their answers are late, the
// bottleneck has to stay busy, and all is admitted soon after the burst.
func TestBurstBeyondTheBottleneck(t *testing.T) {
	for _, nodes := range []int{13, 91} {
		w := newWorld(nodes, 400)
		now := w.run(start, 5*time.Second, 300)
		require.Zero(t, w.refused)
		now = w.run(now, 2*time.Second, 1.7*400)
		now = w.run(now, 18*time.Second, 1.7*400)
		require.Greater(t, float64(w.served), 0.95*18*400, "%d nodes: the bottleneck is kept busy", nodes)
		require.Less(t, w.waited/time.Duration(w.served), 2*target, "%d nodes: delay", nodes)
		now = w.run(now, 2*time.Second, 300)
		w.run(now, 5*time.Second, 300)
		require.Zero(t, w.refused, "%d nodes: after the burst", nodes)
	}
}

// Guards against a slow server that closes the window of a service that has
// room: few requests wait long, the others not at all.
func TestOneSlowServerDoesNotBind(t *testing.T) {
	w := window.New(objective)
	for i := range 2000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		require.True(t, w.Admit(now))
		s := window.Sample{Start: now.Add(-base)}
		if i%10 == 0 {
			s.QueueDelay = 3 * time.Second
		}
		w.End(now, s)
	}
	require.Zero(t, w.Size())
}

// Guards against work that is begun although its calls are refused further
// down, and against a window that never opens again.
func TestRefusedCallsCloseTheWindow(t *testing.T) {
	w := window.New(objective)
	admitted := func(from time.Time, refused bool) int {
		var open []window.Sample
		n := 0
		for i := range 400 { // 100 requests per second for 4 s
			now := from.Add(time.Duration(i) * 10 * time.Millisecond)
			for len(open) > 0 && now.Sub(open[0].Start) >= base {
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

// Guards against requests that ended by their time-out or by a client that left
// counting as requests that did not wait, which would open a window under the
// heaviest overload.
func TestLeaveTellsNothing(t *testing.T) {
	w := window.New(objective)
	for i := range 40 {
		now := start.Add(time.Duration(i) * base)
		require.True(t, w.Admit(now))
		w.End(now.Add(base), window.Sample{Start: now, QueueDelay: 2 * target})
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
