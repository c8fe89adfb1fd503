package runner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/priority"
	"github.com/papayapath/papayapath/pkg/runner"
)

// newLimitedRequest returns a request with some time left until its objective. Its name is
// that time.
func newLimitedRequest(now time.Time, left time.Duration, level importance.Level) *runner.Request[string] {
	return &runner.Request[string]{
		Value: left.String(), Priority: priority.New(level, left.String()), Usual: 10 * time.Millisecond,
		Useful: now.Add(left), Expires: now.Add(left + 5*time.Second),
	}
}

// newBusyDeadlineRunner returns a runner whose only slot is occupied by the returned
// request.
func newBusyDeadlineRunner(t *testing.T) (*runner.Runner[string], *runner.Request[string]) {
	r := runner.New[string](runner.WithDeadlines())
	r.SetSlots(1)
	first := newRequest("first", importance.Normal)
	decision, _ := r.Offer(start, first)
	require.Equal(t, runner.Started, decision)
	return r, first
}

// Load: requests with 4 s, 1.5 s, 0.5 s and less until their objective in one queue of a
// server without room. Guards against a request with 100 ms left behind one with 3 s, and
// against a less important request before a more important one with more time.
func TestLeastTimeToTheObjectiveStartsFirst(t *testing.T) {
	r, first := newBusyDeadlineRunner(t)
	for _, left := range []time.Duration{4 * time.Second, 3 * time.Second, 1500 * time.Millisecond} {
		decision, _ := r.Offer(start, newLimitedRequest(start, left, importance.Normal))
		require.Equal(t, runner.Queued, decision)
	}
	var order []string
	next := func(now time.Time) {
		req := r.Next(now)
		order = append(order, req.Value)
		r.Done(now, req, false)
	}
	r.Done(start, first, false)
	next(start)
	r.Offer(start, newLimitedRequest(start, 100*time.Millisecond, importance.Normal))
	blocker := r.Next(start)
	require.Equal(t, "100ms", blocker.Value)
	r.Offer(start, newLimitedRequest(start, 500*time.Millisecond, importance.Normal))
	r.Offer(start, newLimitedRequest(start, 5*time.Second, importance.High))
	r.Done(start, blocker, false)
	for r.Queued() > 0 {
		next(start)
	}
	require.Equal(t, []string{"1.5s", "5s", "500ms", "3s", "4s"}, order)
}

// Guards against a full queue that refuses a request with little time in favor of one
// that would be served last, and against one that evicts a more important request.
func TestLastToStartIsEvicted(t *testing.T) {
	r, _ := newBusyDeadlineRunner(t)
	offer := func(left time.Duration, level importance.Level) (runner.Decision, string) {
		decision, evicted := r.Offer(start, newLimitedRequest(start, left, level))
		if evicted == nil {
			return decision, ""
		}
		return decision, evicted.Value
	}
	for i := range 4 {
		decision, evicted := offer(time.Duration(i+1)*time.Second, importance.Normal)
		require.Equal(t, runner.Queued, decision)
		require.Empty(t, evicted)
	}
	decision, evicted := offer(100*time.Millisecond, importance.Normal)
	require.Equal(t, runner.Queued, decision)
	require.Equal(t, "4s", evicted)
	decision, _ = offer(9*time.Second, importance.Normal)
	require.Equal(t, runner.Refused, decision)
	decision, _ = offer(time.Millisecond, importance.Background)
	require.Equal(t, runner.Refused, decision)
	decision, evicted = offer(-time.Second, importance.Normal)
	require.Equal(t, runner.Refused, decision, "it is late already")
	require.Empty(t, evicted)
	decision, evicted = offer(9*time.Second, importance.High)
	require.Equal(t, runner.Queued, decision)
	require.Equal(t, "3s", evicted)
	require.Equal(t, 4, r.Queued())
}

// Load: for 4 s a server gets a quarter more than it can do, requests with objectives of
// 4 s, 1.5 s and 0.5 s in equal parts, all of one importance. Guards against
// requests that are late behind others with time to spare.
func TestObjectivesOfDifferentLengthInOneQueue(t *testing.T) {
	for _, c := range []struct {
		name    string
		options []runner.Option
		late    [2]float64 // least and most fraction that is late or refused
	}{
		{"by arrival", nil, [2]float64{0.14, 1}},
		// 0.072 is what the server can't run and the queue can't hold.
		{"by deadline", []runner.Option{runner.WithDeadlines()}, [2]float64{0, 0.08}},
	} {
		t.Run(c.name, func(t *testing.T) {
			late := playObjectives(c.options)
			t.Logf("late or refused %.3f", late)
			require.GreaterOrEqual(t, late, c.late[0])
			require.LessOrEqual(t, late, c.late[1])
		})
	}
}

// playObjectives returns the fraction of the requests that are late or refused.
func playObjectives(options []runner.Option) float64 {
	const (
		slots, serviceTime = 100, 160 * time.Millisecond
		interval           = serviceTime / 94 * 4 / 5 // 94 slots are used
	)
	random := rand.New(rand.NewPCG(1, 1))
	r := runner.New[string](options...)
	r.SetSlots(slots)
	type end struct {
		req *runner.Request[string]
		at  time.Time
	}
	var running []end
	late, all := 0, 0
	started := func(now time.Time, req *runner.Request[string]) {
		running = append(running, end{req, now.Add(serviceTime)})
		if now.Add(serviceTime).After(req.Useful) {
			late++
		}
	}
	for now := start; now.Before(start.Add(8 * time.Second)); now = now.Add(interval) {
		for len(running) > 0 && !running[0].at.After(now) {
			r.Done(now, running[0].req, true)
			running = running[1:]
		}
		late += len(r.Expire(now, nil))
		for req := r.Next(now); req != nil; req = r.Next(now) {
			started(now, req)
		}
		if now.After(start.Add(4 * time.Second)) {
			continue
		}
		all++
		objective := []time.Duration{4 * time.Second, 1500 * time.Millisecond, 500 * time.Millisecond}[random.IntN(3)]
		req := newLimitedRequest(now, objective, importance.Normal)
		req.Priority, req.Usual = priority.New(importance.Normal, fmt.Sprint(all)), serviceTime
		decision, evicted := r.Offer(now, req)
		if decision == runner.Started {
			started(now, req)
		}
		if decision == runner.Refused || evicted != nil {
			late++
		}
	}
	return float64(late) / float64(all)
}
