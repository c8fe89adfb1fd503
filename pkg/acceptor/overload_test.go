package acceptor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	ms  = time.Millisecond
	sec = time.Second
	// wantShare and wantRecovery are the targets of section 2 of the design.
	wantShare    = 0.95
	wantRecovery = 2 * sec
	// announcedSlots is far more than any modelled server can run at once.
	announcedSlots = 1000
	seeds          = 6
)

// scenario is a load on one backend server. Its goodput is measured between
// from and to, against capacity, and its recovery after to.
type scenario struct {
	name     string
	capacity float64 // answers per second
	from, to time.Duration
	end      time.Duration
	make     func(seed uint64) *sim
}

func constant(r float64) func(time.Duration) float64 { return func(time.Duration) float64 { return r } }

func during(from, to time.Duration, in, out float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t >= from && t < to {
			return in
		}
		return out
	}
}

// overload offers three times the capacity to a cold server.
func overload(name string, capacity float64, spread float64, phases func() []phase) scenario {
	return scenario{name: name, capacity: capacity, from: 2 * sec, to: 10 * sec, end: 10 * sec, make: func(seed uint64) *sim {
		s := newSim(seed, announcedSlots, phases()...)
		s.spread, s.rate = spread, constant(3*capacity)
		return s
	}}
}

// disturbance is that of section 11: the server slows by a factor of four
// while demand triples. The server slows in its run times or in its workers.
func disturbance(name string, workers int, mean time.Duration, spread float64, fewer bool) scenario {
	capacity := float64(workers) / mean.Seconds()
	from, to := 4*sec, 12*sec
	return scenario{name: name, capacity: capacity / 4, from: from, to: to, end: 19 * sec, make: func(seed uint64) *sim {
		st := &station{workers: workers}
		s := newSim(seed, announcedSlots, phase{station: st, mean: mean})
		s.spread, s.deadline = spread, 2*sec
		s.rate = during(from, to, 1.5*capacity, 0.5*capacity)
		if fewer {
			s.after(from, func() { st.workers = workers / 4 })
			s.after(to, func() { s.restore(st, workers) })
			return s
		}
		s.slow = during(from, to, 4, 1)
		return s
	}}
}

// children offers 90% of the capacity while a service further down the chain
// slows by a factor of four.
func children(name string, blind bool) scenario {
	return scenario{name: name, capacity: 900, from: 3 * sec, to: 10 * sec, end: 10 * sec, make: func(seed uint64) *sim {
		s := newSim(seed, announcedSlots, phase{station: &station{workers: 10}, mean: 10 * ms}, phase{child: true, mean: 40 * ms})
		s.blind, s.rate = blind, constant(900)
		s.childSlow = during(3*sec, 10*sec, 4, 1)
		return s
	}}
}

func workers(n int, mean time.Duration) func() []phase {
	return func() []phase { return []phase{{station: &station{workers: n}, mean: mean}} }
}

// processor waits for a disk or the like, then needs one of a few processors.
func processor(n int, wait, work time.Duration) func() []phase {
	return func() []phase {
		return []phase{{station: &station{}, mean: wait}, {station: &station{workers: n}, mean: work}}
	}
}

func parent() []phase {
	st := &station{workers: 10}
	return []phase{{station: st, mean: 5 * ms}, {child: true, mean: 160 * ms}, {station: st, mean: 5 * ms}}
}

var overloads = []scenario{
	overload("40 workers", 800, 1, workers(40, 50*ms)),
	overload("40 workers, half constant", 800, 0.5, workers(40, 50*ms)),
	overload("40 workers, constant", 800, 0, workers(40, 50*ms)),
	overload("270 workers", 5400, 1, workers(270, 50*ms)),
	overload("4 workers", 200, 1, workers(4, 20*ms)),
	overload("25 slow workers", 250, 1, workers(25, 100*ms)),
	overload("1 processor", 200, 1, processor(1, 45*ms, 5*ms)),
	overload("4 processors", 400, 1, processor(4, 40*ms, 10*ms)),
	overload("parent of calls", 1000, 1, parent),
	children("slow child calls", false),
}

var disturbances = []scenario{
	disturbance("40 workers slow", 40, 50*ms, 1, false),
	disturbance("40 workers slow, half constant", 40, 50*ms, 0.5, false),
	disturbance("25 workers slow", 25, 100*ms, 1, false),
	disturbance("200 workers slow", 200, 50*ms, 1, false),
	disturbance("40 workers become 10", 40, 50*ms, 1, true),
	disturbance("200 workers become 50", 200, 50*ms, 1, true),
}

// Guards against a limit or a threshold that leaves a busy server idle. Each
// server starts cold and announces far too many slots.
func TestGoodputUnderOverload(t *testing.T) {
	for _, sc := range overloads {
		for _, early := range []bool{false, true} {
			t.Run(sc.title(early), func(t *testing.T) {
				t.Parallel()
				r := measure(sc, early, 0.15)
				t.Logf("share of the limit: mean %.3f, lowest %.3f; mean run %.0f ms", r.share, r.lowest, r.run)
				require.GreaterOrEqual(t, r.share, wantShare)
			})
		}
	}
}

// Guards against goodput that is lost in the disturbance, and against an
// overload that outlasts its trigger.
func TestGoodputAndRecoveryInDisturbance(t *testing.T) {
	for _, sc := range disturbances {
		for _, early := range []bool{false, true} {
			t.Run(sc.title(early), func(t *testing.T) {
				t.Parallel()
				r := measure(sc, early, 0.15)
				t.Logf("share of the limit: mean %.3f, lowest %.3f; recovery: longest %v", r.share, r.lowest, r.recovery)
				require.GreaterOrEqual(t, r.share, wantShare)
				require.LessOrEqual(t, r.recovery, wantRecovery)
			})
		}
	}
}

// Guards against Critical calls that are refused while lower work is admitted,
// in a surge that consists mostly of lower calls.
func TestCriticalCallsInSurge(t *testing.T) {
	for _, sc := range overloads {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			r := measure(sc, false, 0.05)
			t.Logf("Critical calls offered %d, refused %d, while lower ones ran %d", r.critical, r.refused, r.inverted)
			require.Zero(t, r.inverted)
			require.LessOrEqual(t, float64(r.refused), (1-wantShare)*float64(r.critical))
		})
	}
}

// result sums up the runs of one scenario with all seeds.
type result struct {
	share, lowest, run          float64
	recovery                    time.Duration
	critical, refused, inverted int
}

func measure(sc scenario, early bool, critical float64) result {
	r := result{lowest: 10}
	for seed := uint64(1); seed <= seeds; seed++ {
		s := sc.make(seed)
		s.early, s.critical, s.countFrom = early, critical, sec
		s.run(sc.end)
		share := s.goodput(sc.from, sc.to) / sc.capacity
		r.share += share / seeds
		r.lowest = min(r.lowest, share)
		r.run += 1000 * s.runTime / float64(s.runs) / seeds
		r.recovery = max(r.recovery, s.recovery(sc.to))
		r.critical += s.offered[3]
		r.refused += s.refused[3]
		r.inverted += s.inverted
	}
	return r
}

func (sc scenario) title(early bool) string {
	if early {
		return sc.name + ", callers heed the threshold"
	}
	return sc.name
}
