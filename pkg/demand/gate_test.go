package demand_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/demand"
)

const (
	window = 10 * time.Second
	step   = 10 * time.Millisecond
	moves  = "moves"
	calls  = 4.0 // of a request to moves
	urgent = 1.0 // rank
	usual  = 1.0 / 3
)

var start = time.Unix(1_790_000_000, 0)

// load is a steady load of one urgent and three other requests in each step.
type load struct {
	gate            *demand.Gate
	now             time.Time
	urgent, usual   int // admitted
	refused, offers int
}

// run offers the load for the duration d. Answers tell that moves sheds the part rate,
// unless it is negative.
func (l *load) run(d time.Duration, rate float64) {
	l.urgent, l.usual, l.refused, l.offers = 0, 0, 0, 0
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(step) {
		if rate >= 0 {
			l.gate.Learn(l.now, moves, rate)
		}
		for i := range 4 {
			rank, admitted := usual, &l.usual
			if i == 0 {
				rank, admitted = urgent, &l.urgent
			}
			l.offers++
			if !l.gate.Allows(l.now, moves, rank) {
				l.refused++
				continue
			}
			l.gate.Begin(l.now, moves, calls)
			*admitted++
		}
	}
}

func newLoad() *load {
	l := &load{gate: demand.New(0.2, 1, window), now: start}
	l.run(2*window, 0)
	return l
}

// All servers of moves shed 30%, or half, for 8 s, and each request needs four answers of
// them. Guards against requests that are begun beyond the retry budget, against urgent
// ones that lose while others are begun, and against an unused budget.
func TestUrgentRequestsTakeTheRetriesFirst(t *testing.T) {
	for rate, urgentServed := range map[float64]float64{0.3: 1, 0.5: 0.75} {
		l := newLoad()
		require.Zero(t, l.refused)
		const perSecond, seconds = 100, 8
		l.run(seconds*time.Second, rate)
		promised := float64(l.urgent+l.usual) * calls * rate / (1 - rate)
		budget := 0.2 * 4 * perSecond * calls * window.Seconds()
		require.LessOrEqual(t, promised, 1.1*budget)
		require.Greater(t, promised, 0.75*budget)
		require.GreaterOrEqual(t, float64(l.urgent), urgentServed*perSecond*seconds)
		l.run(time.Second, 0)
		l.run(time.Second, 0)
		require.Zero(t, l.refused, "after the trouble")
	}
}

// Guards against an entry node that refuses all requests for ever because no answer tells
// it that the servers have recovered, and against one that begins many without knowing.
func TestProbesWithoutNews(t *testing.T) {
	l := newLoad()
	l.run(8*time.Second, 0.9)
	l.run(5*time.Second, -1)
	require.Less(t, l.usual, 8)
}

// Guards against refusals because of a single server that sheds while the others of its
// service take its calls, and against credit for it: retries go to the others.
func TestOneSheddingServer(t *testing.T) {
	l := newLoad()
	for i := range 1000 {
		now := l.now.Add(time.Duration(i) * time.Millisecond)
		l.gate.LearnServer(now, moves, []string{"a", "b", "c"}[i%3], []float64{0.5, 0, 0}[i%3], 3)
		require.Zero(t, l.gate.Rate(moves))
		l.gate.Count(now, moves)
		l.gate.Count(now, moves)
		require.Zero(t, l.gate.Credit(now, moves, "a"))
		if credit := l.gate.Credit(now, moves, "b"); i > 0 {
			require.Equal(t, 2, credit)
		}
	}
	l.now = l.now.Add(time.Second)
	for i := range 300 {
		l.gate.LearnServer(l.now.Add(time.Duration(i)*time.Millisecond), moves, []string{"a", "b", "c"}[i%3], 0.5, 3)
	}
	require.InDelta(t, 0.5, l.gate.Rate(moves), 0.1)
	for i := range 300 {
		l.gate.LearnServer(l.now.Add(time.Duration(300+i)*time.Millisecond), moves, []string{"a", "b", "c"}[i%3], 0, 3)
	}
	require.Zero(t, l.gate.Rate(moves))
	require.True(t, l.gate.IsCalm())
}

// Guards against retries of requests that are sent to the shedding servers directly and
// use up what more important requests through calls are refused for, and against the
// reverse.
func TestDirectRetriesRespectImportance(t *testing.T) {
	l := newLoad()
	l.run(8*time.Second, 0.6)
	require.False(t, l.gate.AllowsRetry(l.now, moves, 2.0/3))
	require.True(t, l.gate.AllowsRetry(l.now, moves, urgent))
}

// Guards against a rate of a faulty node that makes all decisions undefined.
func TestRatesOutOfRange(t *testing.T) {
	for _, rate := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1, 2} {
		l := newLoad()
		l.gate.LearnServer(l.now, moves, "a", rate, 1)
		l.run(time.Second, rate)
		l.run(time.Second, 0)
		l.run(time.Second, 0)
		require.Zero(t, l.refused, rate)
	}
}
