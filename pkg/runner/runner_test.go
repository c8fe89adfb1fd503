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

func ticket(name string, level importance.Level, inner bool) *runner.Ticket[string] {
	return &runner.Ticket[string]{
		Value: name, Priority: priority.Lowest(level), Expires: start.Add(time.Second), Inner: inner,
	}
}

// full returns a runner all of whose places are taken.
func full(t *testing.T) (*runner.Runner[string], *runner.Ticket[string]) {
	r := runner.New[string]()
	r.Announce(1)
	first := ticket("first", importance.Normal, false)
	v, _ := r.Offer(start, first)
	require.Equal(t, runner.Run, v)
	return r, first
}

// Guards against a reservation that waits behind browsing.
func TestMoreImportantRunsFirst(t *testing.T) {
	r, first := full(t)
	r.Offer(start, ticket("browse", importance.Normal, false))
	r.Offer(start, ticket("reserve", importance.Critical, false))
	require.Nil(t, r.Next(start))
	r.Done(start, first, true)
	require.Equal(t, "reserve", r.Next(start).Value)
}

// Guards against work that is begun although it cannot end in time, and against
// requests that stay queued past their deadline.
func TestExpiredRequestsLeaveTheQueue(t *testing.T) {
	r, _ := full(t)
	v, _ := r.Offer(start, ticket("waits", importance.Normal, false))
	require.Equal(t, runner.Queued, v)
	require.Empty(t, r.Expire(start, nil))
	expired := r.Expire(start.Add(time.Second), nil)
	require.Len(t, expired, 1)
	require.Equal(t, "waits", expired[0].Value)
	require.Zero(t, r.Queued())
	late := ticket("late", importance.Normal, false)
	v, _ = r.Offer(start.Add(2*time.Second), late)
	require.Equal(t, runner.Refused, v)
}

// Guards against less important work that keeps its place in a full queue.
func TestFullQueueGivesWayToImportantWork(t *testing.T) {
	r, _ := full(t)
	for range 4 {
		v, evicted := r.Offer(start, ticket("browse", importance.Normal, false))
		require.Equal(t, runner.Queued, v)
		require.Nil(t, evicted)
	}
	v, _ := r.Offer(start, ticket("browse", importance.Normal, false))
	require.Equal(t, runner.Refused, v)
	v, evicted := r.Offer(start, ticket("reserve", importance.Critical, false))
	require.Equal(t, runner.Queued, v)
	require.Equal(t, "browse", evicted.Value)
}

// Guards against a place that stays taken after a request was canceled.
func TestCancelFreesTheQueue(t *testing.T) {
	r, first := full(t)
	waits := ticket("waits", importance.Normal, false)
	r.Offer(start, waits)
	require.True(t, r.Cancel(waits))
	require.False(t, r.Cancel(waits))
	r.Done(start, first, false)
	r.Done(start, first, false)
	require.Nil(t, r.Next(start))
	require.Zero(t, r.Running())
}

// Guards against overload that refuses calls of requests which were admitted
// before, so that the work already done for them is lost.
func TestInnerCallsAreNotHeldBackByTheThreshold(t *testing.T) {
	r := runner.New[string]()
	r.Announce(2)
	now := start
	var running []*runner.Ticket[string]
	for i := range 400 {
		now = now.Add(5 * time.Millisecond)
		tk := ticket("load", importance.Normal, false)
		tk.Expires = now.Add(200 * time.Millisecond)
		if v, _ := r.Offer(now, tk); v == runner.Run {
			running = append(running, tk)
		}
		r.Expire(now, nil)
		if i%8 == 0 && len(running) > 0 {
			r.Done(now, running[0], true)
			running = running[1:]
			if next := r.Next(now); next != nil {
				running = append(running, next)
			}
		}
	}
	require.NotZero(t, r.Floor())
	outer, inner := ticket("outer", importance.Background, false), ticket("inner", importance.Background, true)
	outer.Expires, inner.Expires = now.Add(time.Hour), now.Add(time.Hour)
	for _, tk := range r.Flush(nil) {
		require.NotNil(t, tk)
	}
	v, _ := r.Offer(now, outer)
	require.Equal(t, runner.Refused, v)
	v, _ = r.Offer(now, inner)
	require.Equal(t, runner.Queued, v)
}

// Guards against a server that has turned slow and looks fast until its runs
// end.
func TestTimeShowsSlowRunsEarly(t *testing.T) {
	r := runner.New[string]()
	r.Announce(10)
	for range 100 {
		tk := ticket("fast", importance.Normal, false)
		r.Offer(start, tk)
		r.Done(start.Add(10*time.Millisecond), tk, true)
	}
	require.Equal(t, 10*time.Millisecond, r.Time(start).Round(time.Millisecond))
	for i := range 4 {
		r.Offer(start.Add(time.Duration(i)*10*time.Millisecond), ticket("slow", importance.Normal, false))
	}
	require.Equal(t, 185*time.Millisecond, r.Time(start.Add(200*time.Millisecond)).Round(time.Millisecond))
}
