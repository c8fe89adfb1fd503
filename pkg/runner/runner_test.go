package runner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/priority"
	"github.com/papayapath/papayapath/pkg/runner"
)

var start = time.Unix(1000, 0)

func ticket(name string, level importance.Level) *runner.Request[string] {
	return &runner.Request[string]{
		Value: name, Priority: priority.Lowest(level), Expires: start.Add(time.Second),
	}
}

// full returns a runner all of whose places are taken.
func full(t *testing.T) (*runner.Runner[string], *runner.Request[string]) {
	r := runner.New[string]()
	r.SetSlots(1)
	first := ticket("first", importance.Normal)
	v, _ := r.Offer(start, first)
	require.Equal(t, runner.Started, v)
	return r, first
}

// Guards against a reservation that waits behind browsing.
func TestMoreImportantRunsFirst(t *testing.T) {
	r, first := full(t)
	r.Offer(start, ticket("browse", importance.Normal))
	r.Offer(start, ticket("reserve", importance.Critical))
	require.Nil(t, r.Next(start))
	r.Done(start, first, true)
	require.Equal(t, "reserve", r.Next(start).Value)
}

// Guards against work that is begun although it cannot end in time, and against
// requests that stay queued past their deadline.
func TestExpiredRequestsLeaveTheQueue(t *testing.T) {
	r, _ := full(t)
	v, _ := r.Offer(start, ticket("waits", importance.Normal))
	require.Equal(t, runner.Queued, v)
	require.Empty(t, r.Expire(start, nil))
	expired := r.Expire(start.Add(time.Second), nil)
	require.Len(t, expired, 1)
	require.Equal(t, "waits", expired[0].Value)
	require.Zero(t, r.Queued())
	late := ticket("late", importance.Normal)
	v, _ = r.Offer(start.Add(2*time.Second), late)
	require.Equal(t, runner.Refused, v)
}

// Guards against less important work that keeps its place in a full queue.
func TestFullQueueGivesWayToImportantWork(t *testing.T) {
	r, _ := full(t)
	for range 4 {
		v, evicted := r.Offer(start, ticket("browse", importance.Normal))
		require.Equal(t, runner.Queued, v)
		require.Nil(t, evicted)
	}
	v, _ := r.Offer(start, ticket("browse", importance.Normal))
	require.Equal(t, runner.Refused, v)
	v, evicted := r.Offer(start, ticket("reserve", importance.Critical))
	require.Equal(t, runner.Queued, v)
	require.Equal(t, "browse", evicted.Value)
}

// Guards against a place that stays taken after a request was canceled.
func TestCancelFreesTheQueue(t *testing.T) {
	r, first := full(t)
	waits := ticket("waits", importance.Normal)
	r.Offer(start, waits)
	require.True(t, r.Cancel(waits))
	require.False(t, r.Cancel(waits))
	r.Done(start, first, false)
	r.Done(start, first, false)
	require.Nil(t, r.Next(start))
	require.Zero(t, r.Running())
}

// Guards against important requests that are refused or late at a server that
// gets twice as many calls of less important ones as it can run.
func TestOverloadByLessImportantCalls(t *testing.T) {
	const slots, runs = 40, 20 * time.Millisecond
	r := runner.New[string]()
	r.SetSlots(slots)
	var running []*runner.Request[string]
	var ends []time.Time
	waited, checks, browsing := time.Duration(0), 0, 0
	begin := func(now time.Time, tk *runner.Request[string]) {
		running, ends = append(running, tk), append(ends, now.Add(runs))
		if tk.Value == "check" {
			waited = max(waited, tk.QueueTime(now))
			checks++
			return
		}
		browsing++
	}
	for i := range 4000 {
		now := start.Add(time.Duration(i) * 250 * time.Microsecond)
		for len(ends) > 0 && !ends[0].After(now) {
			r.Done(now, running[0], true)
			running, ends = running[1:], ends[1:]
		}
		for tk := r.Next(now); tk != nil; tk = r.Next(now) {
			begin(now, tk)
		}
		r.Expire(now, nil)
		tk := ticket("read", importance.Normal)
		if i%10 == 0 {
			tk = ticket("check", importance.High)
		}
		tk.Expires = now.Add(700 * time.Millisecond)
		v, evicted := r.Offer(now, tk)
		if v == runner.Started {
			begin(now, tk)
		}
		require.False(t, v == runner.Refused && tk.Value == "check", "a check is refused at %v", now.Sub(start))
		require.False(t, evicted != nil && evicted.Value == "check", "a check makes room at %v", now.Sub(start))
	}
	require.Greater(t, checks, 390)
	require.Less(t, waited, 2*runs)
	require.Greater(t, browsing, 1000, "the server is kept busy")
}

// Guards against a request that seems to have waited for a place while it ran,
// so that long runs look like a lack of places.
func TestWaitedDoesNotCountTheRun(t *testing.T) {
	r, first := full(t)
	second := ticket("second", importance.Normal)
	r.Offer(start, second)
	r.Done(start.Add(30*time.Millisecond), first, true)
	require.Equal(t, second, r.Next(start.Add(30*time.Millisecond)))
	r.Done(start.Add(90*time.Millisecond), second, true)
	require.Zero(t, first.QueueTime(start.Add(time.Second)))
	require.Equal(t, 30*time.Millisecond, second.QueueTime(start.Add(time.Second)))
}

// Guards against a server that has turned slow and looks fast until its runs
// end.
func TestTimeShowsSlowRunsEarly(t *testing.T) {
	r := runner.New[string]()
	r.SetSlots(10)
	for range 100 {
		tk := ticket("fast", importance.Normal)
		r.Offer(start, tk)
		r.Done(start.Add(10*time.Millisecond), tk, true)
	}
	require.Equal(t, 10*time.Millisecond, r.Time(start).Round(time.Millisecond))
	for i := range 4 {
		r.Offer(start.Add(time.Duration(i)*10*time.Millisecond), ticket("slow", importance.Normal))
	}
	require.Equal(t, 185*time.Millisecond, r.Time(start.Add(200*time.Millisecond)).Round(time.Millisecond))
}
