package guard_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the schedules of a normal run. Flags override them.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	checks := "300"
	if testing.Short() {
		checks = "1500" // rapid runs a fifth of them in short mode
	}
	for name, value := range map[string]string{
		"rapid.checks": checks, "rapid.seed": "20261204", "rapid.nofailfile": "true",
	} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// fault disturbs a world for a time and returns what ends it.
type fault struct {
	name  string
	begin func(w *world, n int, d time.Duration) (end func())
}

func nothing() {}

var faults = []fault{
	{"none", func(*world, int, time.Duration) func() { return nothing }},
	{"pause", func(w *world, n int, d time.Duration) func() {
		w.nodes[n].paused = w.now.Add(d)
		return nothing
	}},
	{"slow write", func(w *world, n int, d time.Duration) func() {
		o := w.nodes[n]
		o.hold = d
		return func() { o.hold = 0 }
	}},
	{"crash", func(w *world, n int, _ time.Duration) func() {
		w.nodes[n].up = false
		return func() { w.restart(n) }
	}},
	{"restart of all", func(w *world, _ int, _ time.Duration) func() {
		for i := range w.nodes {
			w.restart(i)
		}
		return nothing
	}},
	{"log down", func(w *world, _ int, _ time.Duration) func() {
		w.log.down = true
		return func() { w.log.down = false }
	}},
	{"cut from log", func(w *world, n int, _ time.Duration) func() {
		o := w.nodes[n]
		o.cut = true
		return func() { o.cut = false }
	}},
	{"partition", func(w *world, n int, _ time.Duration) func() {
		o := w.nodes[n]
		o.isolated = true
		return func() { o.isolated = false }
	}},
	{"false suspicion", func(w *world, n int, _ time.Duration) func() {
		o := w.nodes[n]
		o.blind = true
		return func() { o.blind = false }
	}},
	{"lost appends", func(w *world, _ int, _ time.Duration) func() {
		w.lossy = true
		return func() { w.lossy = false }
	}},
	{"slow network", func(w *world, _ int, d time.Duration) func() {
		w.slow = d
		return func() { w.slow = 0 }
	}},
	{"slow log", func(w *world, n int, d time.Duration) func() {
		o := w.nodes[n]
		o.lag = d / 2
		return func() { w.after(d, nil, func() { o.lag = 0 }) }
	}},
	{"new generation", func(w *world, _ int, _ time.Duration) func() {
		w.log = platformLog{generation: w.log.generation + 1, down: w.log.down}
		return nothing
	}},
	{"address reused", func(w *world, n int, _ time.Duration) func() {
		o := w.nodes[n]
		o.isolated, o.cut = true, true
		w.old = append(w.old, o)
		w.nodes[n] = w.start(n, o.id.Incarnation()+1)
		return nothing
	}},
}

// schedule runs a world of four nodes for 30 s with two of the given faults,
// which may overlap. Clocks differ by up to 100 ms and 0.2%.
func schedule(rt *rapid.T, faults []fault, plant func(*world)) *world {
	w := newWorld(rapid.Uint64().Draw(rt, "seed"), 0)
	plant(w)
	for i := range 4 {
		w.nodes = append(w.nodes, w.start(i, 1))
		w.nodes[i].offset = time.Duration(w.random.IntN(101)-50) * time.Millisecond
		w.nodes[i].rate = 1 + float64(w.random.IntN(3)-1)/1000
	}
	for range 2 {
		f := faults[rapid.IntRange(0, len(faults)-1).Draw(rt, "fault")]
		rt.Log(f.name)
		n := rapid.IntRange(0, 3).Draw(rt, "node")
		at := time.Duration(rapid.IntRange(30, 180).Draw(rt, "start")) * 100 * time.Millisecond
		d := time.Duration(rapid.IntRange(5, 80).Draw(rt, "length")) * 100 * time.Millisecond
		w.after(at, nil, func() { w.after(d, nil, f.begin(w, n, d)) })
	}
	for w.now.Before(origin.Add(30 * time.Second)) {
		w.load()
		w.run(5 * step)
	}
	return w
}

// Guards against a second run of a key and a false "not run" under any fault,
// alone and in pairs.
func TestRandomSchedules(t *testing.T) {
	total, keys := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		w := schedule(rt, faults, func(*world) {})
		total, keys = total+w.total, keys+len(w.keys)
		if len(w.faults) > 0 {
			rt.Fatalf("%d violations, first: %s", len(w.faults), w.faults[0])
		}
	})
	t.Logf("%d of %d keys ran", total, keys)
	require.Greater(t, total, keys/2, "too few runs to prove anything")
}

// Guards against a checker that finds nothing: it has to find each planted
// fault under disturbances that bring it out.
func TestCheckerFindsPlantedFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		among []string
		plant func(*world)
	}{
		{"read counted from its arrival", []string{"crash", "slow log"}, func(w *world) { w.lateStart = true }},
		{"age counted from the sending", []string{"crash", "slow network"}, func(w *world) { w.sendAge = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			found := 0
			some := slices.DeleteFunc(slices.Clone(faults), func(f fault) bool {
				return !slices.Contains(c.among, f.name)
			})
			rapid.Check(t, func(rt *rapid.T) { found += len(schedule(rt, some, c.plant).faults) })
			require.Positive(t, found)
			t.Logf("%d violations found", found)
		})
	}
}
