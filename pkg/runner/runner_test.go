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

func newRequest(name string, level importance.Level) *runner.Request[string] {
	return &runner.Request[string]{
		Value: name, Priority: priority.Lowest(level), Expires: start.Add(time.Second),
	}
}

// newBusyRunner returns a runner whose only slot is occupied by the returned
// request.
func newBusyRunner(t *testing.T) (*runner.Runner[string], *runner.Request[string]) {
	r := runner.New[string]()
	r.SetSlots(1)
	first := newRequest("first", importance.Normal)
	decision, _ := r.Offer(start, first)
	require.Equal(t, runner.Started, decision)
	return r, first
}

// Guards against a critical request waiting behind a less important one that
// arrived earlier.
func TestMoreImportantRunsFirst(t *testing.T) {
	r, first := newBusyRunner(t)
	r.Offer(start, newRequest("browse", importance.Normal))
	r.Offer(start, newRequest("reserve", importance.Critical))
	require.Nil(t, r.Next(start))
	r.Done(start, first, true)
	require.Equal(t, "reserve", r.Next(start).Value)
}

// Guards against starting requests that cannot meet their deadline, and
// against requests that stay queued past it.
func TestExpiredRequestsLeaveTheQueue(t *testing.T) {
	r, _ := newBusyRunner(t)
	decision, _ := r.Offer(start, newRequest("waits", importance.Normal))
	require.Equal(t, runner.Queued, decision)
	require.Empty(t, r.Expire(start, nil))
	expired := r.Expire(start.Add(time.Second), nil)
	require.Len(t, expired, 1)
	require.Equal(t, "waits", expired[0].Value)
	require.Zero(t, r.Queued())
	late := newRequest("late", importance.Normal)
	decision, _ = r.Offer(start.Add(2*time.Second), late)
	require.Equal(t, runner.Refused, decision)
}

// Guards against refusing a critical request because the queue is full of
// less important ones.
func TestFullQueueGivesWayToImportantWork(t *testing.T) {
	r, _ := newBusyRunner(t)
	for range 4 {
		decision, evicted := r.Offer(start, newRequest("browse", importance.Normal))
		require.Equal(t, runner.Queued, decision)
		require.Nil(t, evicted)
	}
	decision, _ := r.Offer(start, newRequest("browse", importance.Normal))
	require.Equal(t, runner.Refused, decision)
	decision, evicted := r.Offer(start, newRequest("reserve", importance.Critical))
	require.Equal(t, runner.Queued, decision)
	require.Equal(t, "browse", evicted.Value)
}

// Guards against a canceled request that still occupies the queue or a slot.
func TestCancelFreesTheQueue(t *testing.T) {
	r, first := newBusyRunner(t)
	waiting := newRequest("waits", importance.Normal)
	r.Offer(start, waiting)
	require.True(t, r.Cancel(waiting))
	require.False(t, r.Cancel(waiting))
	r.Done(start, first, false)
	r.Done(start, first, false)
	require.Nil(t, r.Next(start))
	require.Zero(t, r.Running())
}

// Guards against refusing or delaying important requests at a server that
// receives less important ones at twice its capacity.
func TestOverloadByLessImportantRequests(t *testing.T) {
	const slots, serviceTime = 40, 20 * time.Millisecond
	r := runner.New[string]()
	r.SetSlots(slots)
	var running []*runner.Request[string]
	var completions []time.Time
	maxQueueTime, checks, reads := time.Duration(0), 0, 0
	record := func(now time.Time, req *runner.Request[string]) {
		running, completions = append(running, req), append(completions, now.Add(serviceTime))
		if req.Value == "check" {
			maxQueueTime = max(maxQueueTime, req.QueueTime(now))
			checks++
			return
		}
		reads++
	}
	for i := range 4000 {
		now := start.Add(time.Duration(i) * 250 * time.Microsecond)
		for len(completions) > 0 && !completions[0].After(now) {
			r.Done(now, running[0], true)
			running, completions = running[1:], completions[1:]
		}
		for req := r.Next(now); req != nil; req = r.Next(now) {
			record(now, req)
		}
		r.Expire(now, nil)
		req := newRequest("read", importance.Normal)
		if i%10 == 0 {
			req = newRequest("check", importance.High)
		}
		req.Expires = now.Add(700 * time.Millisecond)
		decision, evicted := r.Offer(now, req)
		if decision == runner.Started {
			record(now, req)
		}
		require.False(t, decision == runner.Refused && req.Value == "check", "check refused after %v", now.Sub(start))
		require.False(t, evicted != nil && evicted.Value == "check", "check evicted after %v", now.Sub(start))
	}
	require.Greater(t, checks, 390)
	require.Less(t, maxQueueTime, 2*serviceTime)
	require.Greater(t, reads, 1000, "reads that ran")
}

// Guards against counting the service time as queueing time, which makes
// long service times look like a lack of slots.
func TestQueueTimeExcludesServiceTime(t *testing.T) {
	r, first := newBusyRunner(t)
	second := newRequest("second", importance.Normal)
	r.Offer(start, second)
	r.Done(start.Add(30*time.Millisecond), first, true)
	require.Equal(t, second, r.Next(start.Add(30*time.Millisecond)))
	r.Done(start.Add(90*time.Millisecond), second, true)
	require.Zero(t, first.QueueTime(start.Add(time.Second)))
	require.Equal(t, 30*time.Millisecond, second.QueueTime(start.Add(time.Second)))
}

// Guards against a service time estimate that does not rise until the runs
// of a slowed server complete.
func TestTimeIncludesRunningRequests(t *testing.T) {
	r := runner.New[string]()
	r.SetSlots(10)
	for range 100 {
		req := newRequest("fast", importance.Normal)
		r.Offer(start, req)
		r.Done(start.Add(10*time.Millisecond), req, true)
	}
	require.Equal(t, 10*time.Millisecond, r.Time(start).Round(time.Millisecond))
	for i := range 4 {
		r.Offer(start.Add(time.Duration(i)*10*time.Millisecond), newRequest("slow", importance.Normal))
	}
	require.Equal(t, 185*time.Millisecond, r.Time(start.Add(200*time.Millisecond)).Round(time.Millisecond))
}

// Guards against the queue time of a request that was refused without being
// offered, for example because its server is leaving: measured from the zero
// time, it is the longest duration, and a sum with another one is negative.
func TestQueueTimeOfRequestNotOffered(t *testing.T) {
	var req runner.Request[int]
	require.Zero(t, req.QueueTime(time.Unix(1000, 0)))
}

// pacer allows a number of starts.
type pacer struct {
	allowed   int
	perSecond float64
}

func (p *pacer) Delay(time.Time) time.Duration {
	if p.allowed > 0 {
		return 0
	}
	return time.Second / 2
}
func (p *pacer) Take(time.Time)        { p.allowed-- }
func (p *pacer) Rate() (float64, bool) { return p.perSecond, true }

// Guards against requests that are started beyond the rate of the server, that
// wait long for it while other servers may have room, or that are queued although
// they would start too late, and against a paced server that looks idle.
func TestPacedRunner(t *testing.T) {
	p := &pacer{allowed: 1, perSecond: 40}
	r := runner.New[string](runner.WithPacer(p))
	r.SetSlots(100)
	first := newRequest("first", importance.Normal)
	decision, _ := r.Offer(start, first)
	require.Equal(t, runner.Started, decision)
	decision, _ = r.Offer(start, newRequest("unknown service time", importance.Normal))
	require.Equal(t, runner.Refused, decision)
	end := start.Add(100 * time.Millisecond)
	r.Done(end, first, true)
	require.Equal(t, 4, r.Capacity(), "40 a second of 100 ms each")
	require.Equal(t, 4, r.Load(end), "idle, but takes no request now")
	decision, _ = r.Offer(end, newRequest("waits", importance.Normal))
	require.Equal(t, runner.Queued, decision)
	require.Nil(t, r.Next(end))
	decision, _ = r.Offer(end, newRequest("too many", importance.Normal))
	require.Equal(t, runner.Refused, decision)
	decision, evicted := r.Offer(end, newRequest("urgent", importance.Critical))
	require.Equal(t, runner.Queued, decision)
	require.Equal(t, "waits", evicted.Value)
	p.allowed = 1
	require.Equal(t, "urgent", r.Next(end).Value)
	late := newRequest("late", importance.Critical)
	late.Expires = end.Add(500 * time.Millisecond)
	decision, _ = r.Offer(end, late)
	require.Equal(t, runner.Refused, decision)
}
