package runner

import (
	"time"

	"github.com/papayapath/papayapath/pkg/priority"
	"github.com/papayapath/papayapath/pkg/queue"
)

const (
	// fill is the part of the announced slots that is used. Servers slow down
	// or stop answering when they are nearly full.
	fill = 0.94
	// defaultSlots is used until a server announces its slots.
	defaultSlots = 16
	// recent is the weight of one run in the mean run time.
	recent = 0.05
)

// Decision says what becomes of an offered request.
type Decision uint8

// Verdicts on an offer.
const (
	Refused Decision = iota
	Started
	Queued
)

// Request is one request at the server.
type Request[T any] struct {
	Value    T
	Priority priority.Priority
	Expires  time.Time // when the request must have been answered

	handle  queue.Handle
	arrived time.Time
	started time.Time
	queued  bool
	running bool
}

// QueueTime returns how long the ticket has been queued or was until it ran.
func (t *Request[T]) QueueTime(now time.Time) time.Duration {
	if !t.started.IsZero() {
		return t.started.Sub(t.arrived)
	}
	return now.Sub(t.arrived)
}

// Runner holds the queue and the slots of one server. It is not safe for
// concurrent use.
type Runner[T any] struct {
	slots   int
	running int
	queue   *queue.Queue[*Request[T]]
	mean    time.Duration // of a run
	epoch   time.Time
	starts  time.Duration // sum over the running requests of their start since epoch
}

// New returns the runner of a server without requests.
func New[T any]() *Runner[T] {
	return &Runner[T]{slots: defaultSlots, queue: queue.New[*Request[T]]()}
}

// SetSlots sets the slots of the server.
func (r *Runner[T]) SetSlots(slots int) {
	if slots > 0 {
		r.slots = slots
	}
}

// Limit returns how many requests may run at once.
func (r *Runner[T]) Limit() int { return max(1, int(fill*float64(r.slots))) }

// Offer decides about a request. Evicted tickets, which made room for t, are
// refused by the caller.
func (r *Runner[T]) Offer(now time.Time, t *Request[T]) (v Decision, evicted *Request[T]) {
	t.arrived = now
	if r.running < r.Limit() && r.queue.Len() == 0 {
		r.begin(now, t)
		return Started, nil
	}
	if r.late(now, t) {
		return Refused, nil
	}
	if r.queue.Len() >= r.bound() {
		lowest, _ := r.queue.Lowest()
		if lowest.Priority >= t.Priority {
			return Refused, nil
		}
		evicted, _ = r.queue.Evict()
		evicted.queued = false
	}
	t.queued = true
	t.handle = r.queue.Push(t.Priority, t.Expires.Add(-r.mean), t)
	return Queued, evicted
}

// bound returns how many requests may wait.
func (r *Runner[T]) bound() int { return 4 * r.Limit() }

// late reports whether t cannot be answered in time even if it ran next.
func (r *Runner[T]) late(now time.Time, t *Request[T]) bool {
	return now.Add(r.mean).After(t.Expires)
}

func (r *Runner[T]) begin(now time.Time, t *Request[T]) {
	if r.running == 0 {
		r.epoch, r.starts = now, 0
	}
	t.started, t.running = now, true
	r.running++
	r.starts += now.Sub(r.epoch)
}

// Next returns a queued ticket that may run now, or nil.
func (r *Runner[T]) Next(now time.Time) *Request[T] {
	if r.running >= r.Limit() {
		return nil
	}
	t, ok := r.queue.Pop()
	if !ok {
		return nil
	}
	t.queued = false
	r.begin(now, t)
	return t
}

// Done records the end of a run. served says that the server answered.
func (r *Runner[T]) Done(now time.Time, t *Request[T], served bool) {
	if !t.running {
		return
	}
	t.running = false
	r.running--
	r.starts -= t.started.Sub(r.epoch)
	d := now.Sub(t.started)
	// A run that was given up would have taken longer than it did.
	if served || d > r.mean {
		if r.mean == 0 {
			r.mean = d
		}
		r.mean += time.Duration(recent * float64(d-r.mean))
	}
}

// Cancel takes a ticket out of the queue. It reports whether it was there.
func (r *Runner[T]) Cancel(t *Request[T]) bool {
	if !t.queued {
		return false
	}
	t.queued = false
	r.queue.Remove(t.handle)
	return true
}

// Expire removes the queued tickets that cannot be answered in time any more.
func (r *Runner[T]) Expire(now time.Time, out []*Request[T]) []*Request[T] {
	first := len(out)
	out = r.queue.AppendExpired(now, out)
	for _, t := range out[first:] {
		r.Cancel(t)
	}
	return out
}

// Flush removes all queued tickets.
func (r *Runner[T]) Flush(out []*Request[T]) []*Request[T] {
	for {
		t, ok := r.queue.Pop()
		if !ok {
			return out
		}
		t.queued = false
		out = append(out, t)
	}
}

// Running returns the number of requests at the server.
func (r *Runner[T]) Running() int { return r.running }

// Queued returns the number of requests that wait.
func (r *Runner[T]) Queued() int { return r.queue.Len() }

// MeanServiceTime returns the mean run time of recent requests, or 0 if none has ended.
func (r *Runner[T]) MeanServiceTime() time.Duration { return r.mean }

// Time returns how long a request takes at the server: the mean of recent runs,
// or the mean age of the requests that run now if that is longer, since a server
// that has turned slow shows so before its runs end.
func (r *Runner[T]) Time(now time.Time) time.Duration {
	if r.running == 0 {
		return r.mean
	}
	return max(r.mean, now.Sub(r.epoch)-r.starts/time.Duration(r.running))
}
