package retryshare_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/retryshare"
)

const (
	ratio, slack = 0.2, 48.0
	window       = 10 * time.Second
	tick         = 10 * time.Millisecond
	ticks        = int(window / tick)
	// maxDelay is the delay of credit, and of a repeat between its grant and its sending.
	maxDelay = window / 40
)

var origin = time.Unix(1_790_000_000, 0)

// granter is what a schedule needs of a share.
type granter interface {
	Add(now time.Time, n float64)
	SetServers(now time.Time, n int)
	Covers(now time.Time, part, n float64) bool
	Spend(now time.Time, n float64)
}

// observer counts the requests and repeats of a service, by the tick in which they are
// sent.
type observer struct{ requests, repeats []float64 }

func newObserver(duration time.Duration) *observer {
	n := int(duration / tick)
	return &observer{make([]float64, n), make([]float64, n)}
}

// worst returns the largest part of the budget that repeats use in any window. The
// requests that count are those of the window, of the one before it or of the one that
// begins half a window earlier, whichever has most.
func (o *observer) worst() float64 {
	requests, repeats := sums(o.requests), sums(o.repeats)
	worst := 0.0
	for a := range len(o.repeats) - ticks {
		counted := max(requests(a, a+ticks), requests(a-ticks, a), requests(a-ticks/2, a+ticks/2))
		worst = max(worst, repeats(a, a+ticks)/(ratio*counted+slack))
	}
	return worst
}

// sums returns a function that sums up values from one index to another.
func sums(values []float64) func(from, to int) float64 {
	total := make([]float64, len(values)+1)
	for i, v := range values {
		total[i+1] = total[i] + v
	}
	return func(from, to int) float64 { return total[max(0, to)] - total[max(0, from)] }
}

// server is a server with the node beside it.
type server struct {
	share      granter
	pausedTo   int // tick at which a pause of the node ends
	knows      int // servers that the node knows
	knowsUntil int // tick at which it knows all of them again
}

// schedule plays requests, which move between servers, and servers that shed and ask for
// repeats without end, with one or more disturbances.
type schedule struct {
	random   *rand.Rand
	newShare func(now time.Time, isFirst bool) granter
	observer *observer
	servers  []*server
	late     map[int][]func() // what happens at a later tick
}

// play returns the largest part of the budget that is used in any window.
func (s *schedule) play(servers int, duration time.Duration) float64 {
	s.observer, s.late = newObserver(duration), make(map[int][]func())
	for range servers {
		s.servers = append(s.servers, &server{share: s.newShare(origin, true), knows: servers})
	}
	rate, from, to, wanted := 0.0, 0, servers, 0.0
	for t := range len(s.observer.requests) {
		now := origin.Add(time.Duration(t) * tick)
		for _, f := range s.late[t] {
			f()
		}
		if t == 0 || s.random.IntN(300) == 0 { // the load changes about every 3 s
			rate = []float64{0, 1, 4, 20}[s.random.IntN(4)] * s.random.Float64()
		}
		if s.random.IntN(300) == 0 { // requests move to other servers
			from = s.random.IntN(servers)
			to = from + 1 + s.random.IntN(servers-from)
		}
		if s.random.IntN(200) == 0 { // servers begin or cease to shed
			wanted = []float64{0, 1, 5, 50}[s.random.IntN(4)]
		}
		s.disturb(t, now)
		for range int(rate + s.random.Float64()) {
			s.observer.requests[t]++
			s.send(t, s.servers[from+s.random.IntN(to-from)], func(v *server, at time.Time) { v.share.Add(at, 1) })
		}
		for range int(wanted + s.random.Float64()) {
			v := s.servers[s.random.IntN(servers)]
			if t < v.pausedTo || !v.share.Covers(now, retryshare.Whole, 1) {
				continue
			}
			v.share.Spend(now, 1)
			if at := t + s.random.IntN(int(maxDelay/tick)); at < len(s.observer.repeats) {
				s.observer.repeats[at]++
			}
		}
	}
	return s.observer.worst()
}

// send lets a server hear of something later, unless it is lost.
func (s *schedule) send(t int, v *server, f func(v *server, at time.Time)) {
	at := t + s.random.IntN(int(maxDelay/tick))
	if s.random.IntN(50) == 0 || at < v.pausedTo {
		return
	}
	s.late[at] = append(s.late[at], func() { f(v, origin.Add(time.Duration(at)*tick)) })
}

// disturb restarts, pauses, replaces or cuts off nodes beside servers.
func (s *schedule) disturb(t int, now time.Time) {
	v := s.servers[s.random.IntN(len(s.servers))]
	switch s.random.IntN(700) {
	case 0:
		v.share = s.newShare(now, false)
	case 1:
		v.pausedTo = t + s.random.IntN(ticks)
	case 2:
		v.knows, v.knowsUntil = 1, t+s.random.IntN(3*ticks)
	case 3: // many are restarted at once
		for _, v := range s.servers {
			if s.random.IntN(2) == 0 {
				v.share = s.newShare(now, false)
			}
		}
	}
	for _, v := range s.servers {
		if t >= v.knowsUntil {
			v.knows = len(s.servers)
		}
		v.share.SetServers(now, v.knows)
	}
}

func newShare(now time.Time, isFirst bool) granter {
	if isFirst {
		return retryshare.New(now, ratio, slack, window, retryshare.WithoutPredecessor())
	}
	return retryshare.New(now, ratio, slack, window)
}

// Guards against more repeats than the budget in any window, whatever its start, when
// requests move between servers, the load falls, nodes are restarted, paused or cut off,
// and credit comes late or not at all.
func TestRepeatsStayWithinTheBudget(t *testing.T) {
	require.Equal(t, maxDelay, retryshare.New(origin, ratio, slack, window).MaxDelay())
	seeds := uint64(100) // seed 95 restarts nodes that are cut off for longer than they wait for the slack
	if testing.Short() {
		seeds = 12
	}
	worst := 0.0
	for seed := range seeds {
		s := &schedule{random: rand.New(rand.NewPCG(seed, 1)), newShare: newShare}
		used := s.play(1+int(seed%12), time.Minute)
		require.LessOrEqual(t, used, 1.0, "seed %d", seed)
		worst = max(worst, used)
	}
	t.Logf("at most %.3f of the budget", worst)
	require.Greater(t, worst, 0.8)
}

// endingWindow grants repeats by the largest of three windows that end now, or did so half
// a window or a window ago: a budget that holds for one moment and does not add up.
type endingWindow struct {
	requests, repeats []float64 // by tick
	servers           int
}

func (e *endingWindow) index(now time.Time) int { return int(now.Sub(origin) / tick) }

func (e *endingWindow) Add(now time.Time, n float64)   { e.requests[e.index(now)] += n }
func (e *endingWindow) SetServers(_ time.Time, n int)  { e.servers = n }
func (e *endingWindow) Spend(now time.Time, n float64) { e.repeats[e.index(now)] += n }

func (e *endingWindow) Covers(now time.Time, _, n float64) bool {
	end := e.index(now) + 1
	sum := func(values []float64, end int) float64 {
		total := 0.0
		for _, v := range values[max(0, end-ticks):max(0, end)] {
			total += v
		}
		return total
	}
	requests := max(sum(e.requests, end), sum(e.requests, end-ticks/2), sum(e.requests, end-ticks))
	return sum(e.repeats, end)+n <= ratio*requests+slack/float64(e.servers)
}

// Guards against schedules that would not find a budget which holds only for windows that
// end now, and not as a sum over servers.
func TestSchedulesFindPlantedFault(t *testing.T) {
	seeds := 12
	if testing.Short() {
		seeds = 6
	}
	found, worst := 0, 0.0
	for seed := range uint64(seeds) {
		s := &schedule{random: rand.New(rand.NewPCG(seed, 1)), newShare: func(time.Time, bool) granter {
			return &endingWindow{requests: make([]float64, ticks*6), repeats: make([]float64, ticks*6), servers: 1}
		}}
		used := s.play(1+int(seed%12), time.Minute)
		if used > 1 {
			found++
		}
		worst = max(worst, used)
	}
	t.Logf("found in %d of %d, at most %.3f of the budget", found, seeds, worst)
	require.Greater(t, found, seeds/2)
}

// Guards against more repeats than the budget in any window of an observer, whatever its
// start, when repeats come in bursts as soon as the budget allows them, and against a budget
// that is taken away when requests are turned away at the entry.
func TestBudgetOutlastsShedding(t *testing.T) {
	const (
		step    = 20 * time.Millisecond
		steps   = int(window / step)
		perStep = 4
	)
	start := origin.Add(730 * time.Millisecond)
	s := retryshare.New(start, ratio, slack, window, retryshare.WithoutPredecessor())
	o := newObserver(6 * window)
	duringShedding := 0.0
	for i := range 6 * steps {
		now := start.Add(time.Duration(i) * step)
		isShedding := i >= 2*steps && i < 2*steps+4*steps/5
		if !isShedding || i%10 == 0 {
			s.Add(now, perStep)
			o.requests[i*int(step/tick)] += perStep
		}
		for i > 2*steps && i%40 < 5 && s.Covers(now, retryshare.Whole, 1) {
			s.Spend(now, 1)
			o.repeats[i*int(step/tick)]++
			if isShedding {
				duringShedding++
			}
		}
	}
	require.LessOrEqual(t, o.worst(), 1.0)
	require.Greater(t, duringShedding, 0.9*(ratio*perStep*float64(steps)+slack))
}

// Guards against a Share that forgets what it has granted, or grants more, when the time of
// its caller goes back or a window passes without a call.
func TestTimeOfTheShare(t *testing.T) {
	s := retryshare.New(origin, 0, 4, window, retryshare.WithoutPredecessor())
	for range 4 {
		require.True(t, s.Covers(origin, retryshare.Whole, 1))
		s.Spend(origin, 1)
	}
	require.False(t, s.Covers(origin.Add(-time.Hour), retryshare.Whole, 1))
	require.False(t, s.Covers(origin.Add(window), retryshare.Whole, 1))
	s.Return(origin.Add(window), origin, 1)
	require.True(t, s.Covers(origin.Add(window), retryshare.Whole, 1))
	require.True(t, s.Covers(origin.Add(5*window), retryshare.Whole, 4))
	require.False(t, s.Covers(origin.Add(5*window), retryshare.Whole, 5))
}
