package runner

import (
	"math"
	"time"

	"github.com/papayapath/papayapath/pkg/priority"
)

const (
	// slotUtilization is the fraction of the announced slots that is used.
	// Servers slow down or stop answering when they are nearly full.
	slotUtilization = 0.94
	// defaultSlots applies until a server announces its slots.
	defaultSlots = 16
	// pacedQueueTime is the longest wait for the limited rate of a server, in
	// service times.
	pacedQueueTime = 0.25
	// serviceTimeWeight is the weight of one run in the mean service time.
	serviceTimeWeight = 0.05
)

// Decision is the result of offering a request.
type Decision uint8

// Decisions on an offered request.
const (
	Refused Decision = iota
	Started
	Queued
)

// Request is a request that is offered to the server.
type Request[T any] struct {
	Value    T
	Priority priority.Priority
	Expires  time.Time // deadline of the answer
	// Useful is the time until which the answer meets the latency objective of the
	// client's request. If it is zero, Expires stands for it.
	Useful time.Time
	// Usual is the expected service time, or 0 if only that of all requests is known.
	Usual time.Duration

	handle  int32 // in the queue
	arrived time.Time
	started time.Time
	queued  bool
	running bool
}

// QueueTime returns the time that the request spent in the queue, up to now if
// it has not started. It is 0 for a request that was not offered.
func (req *Request[T]) QueueTime(now time.Time) time.Duration {
	switch {
	case req.arrived.IsZero():
		return 0
	case !req.started.IsZero():
		return req.started.Sub(req.arrived)
	}
	return now.Sub(req.arrived)
}

// Pacer limits the rate at which requests are started.
type Pacer interface {
	// Delay returns the time until a request may be started, 0 if it may be
	// started now.
	Delay(now time.Time) time.Duration
	// Take records the start of a request.
	Take(now time.Time)
	// Rate returns the limit in requests a second, if there is one.
	Rate() (perSecond float64, ok bool)
}

// Option changes a default of New.
type Option func(*config)

type config struct {
	pacer      Pacer
	byDeadline bool
}

// WithPacer limits the rate at which requests are started.
func WithPacer(p Pacer) Option { return func(c *config) { c.pacer = p } }

// WithDeadlines orders the queued requests of one importance by the latest start at which
// they meet their objective. Those that can no longer meet it follow, by the latest start
// at which they meet their deadline. Without it, requests of one priority start in the order
// of their arrival.
func WithDeadlines() Option { return func(c *config) { c.byDeadline = true } }

// unpaced is a Pacer without a limit.
type unpaced struct{}

func (unpaced) Delay(time.Time) time.Duration { return 0 }
func (unpaced) Take(time.Time)                {}
func (unpaced) Rate() (float64, bool)         { return 0, false }

// Runner schedules the requests of one backend server. It limits the number of
// concurrent requests and the rate of new ones, and holds the others in a
// priority queue.
//
// A Runner is not safe for concurrent use.
type Runner[T any] struct {
	slots          int
	running        int
	pacer          Pacer
	queue          waiting[T]
	serviceTime    time.Duration // weighted mean of recent runs
	epoch          time.Time     // reference time of startOffsetSum
	startOffsetSum time.Duration // sum over the running requests of start time minus epoch
}

// New returns a runner without requests.
func New[T any](options ...Option) *Runner[T] {
	c := config{pacer: unpaced{}}
	for _, o := range options {
		o(&c)
	}
	r := &Runner[T]{slots: defaultSlots, pacer: c.pacer, queue: newArrivals[T]()}
	if c.byDeadline {
		r.queue = newDeadlines[T]()
	}
	return r
}

// SetSlots sets the number of slots that the server has announced. Values below
// 1 are ignored.
func (r *Runner[T]) SetSlots(slots int) {
	if slots > 0 {
		r.slots = slots
	}
}

// Limit returns the maximum number of concurrent requests.
func (r *Runner[T]) Limit() int { return max(1, int(slotUtilization*float64(r.slots))) }

// Capacity returns the number of concurrent requests that the server can sustain:
// the maximum or, if the rate of new requests is limited, those that run at once
// at that rate (Little's law). Other nodes compare servers by it.
func (r *Runner[T]) Capacity() int {
	rate, ok := r.pacer.Rate()
	if !ok {
		return r.Limit()
	}
	return min(r.Limit(), max(1, int(math.Ceil(rate*r.serviceTime.Seconds()))))
}

// Load returns the number of running and queued requests. A server that takes no
// request now because of its rate has the load of its capacity at least.
func (r *Runner[T]) Load(now time.Time) int {
	load := r.running + r.queue.Len()
	if r.pacer.Delay(now) > 0 {
		load = max(load, r.Capacity())
	}
	return load
}

// IsPaced reports whether the rate of new requests is limited.
func (r *Runner[T]) IsPaced() bool {
	_, ok := r.pacer.Rate()
	return ok
}

// Offer starts, queues or refuses req. If a queued request was evicted in favor
// of req, it is returned, and the caller has to refuse it.
func (r *Runner[T]) Offer(now time.Time, req *Request[T]) (decision Decision, evicted *Request[T]) {
	req.arrived = now
	if r.running < r.Limit() && r.queue.Len() == 0 && r.pacer.Delay(now) == 0 {
		r.start(now, req)
		return Started, nil
	}
	if r.missesDeadline(now, req) {
		return Refused, nil
	}
	req.queued = true
	usual := req.Usual
	if usual == 0 {
		usual = r.serviceTime
	}
	if evicted = r.queue.add(now, req, usual, req.Expires.Add(-r.serviceTime), r.queueLimit()); evicted != nil {
		evicted.queued = false
	}
	if evicted == req {
		return Refused, nil
	}
	return Queued, evicted
}

// queueLimit returns the maximum queue length. If the rate is limited, other
// servers often have room, and the queue does not shorten with a faster service:
// only requests that start within pacedQueueTime service times wait.
func (r *Runner[T]) queueLimit() int {
	limit := 4 * r.Limit()
	if rate, ok := r.pacer.Rate(); ok {
		limit = min(limit, int(pacedQueueTime*rate*r.serviceTime.Seconds()))
	}
	return limit
}

// missesDeadline reports whether req is expected to miss its deadline even if
// it is the next to start.
func (r *Runner[T]) missesDeadline(now time.Time, req *Request[T]) bool {
	return now.Add(r.pacer.Delay(now) + r.serviceTime).After(req.Expires)
}

func (r *Runner[T]) start(now time.Time, req *Request[T]) {
	if r.running == 0 {
		r.epoch, r.startOffsetSum = now, 0
	}
	req.started, req.running = now, true
	r.running++
	r.pacer.Take(now)
	r.startOffsetSum += now.Sub(r.epoch)
}

// Next starts the first queued request and returns it. It returns nil if the
// queue is empty or a limit is reached.
func (r *Runner[T]) Next(now time.Time) *Request[T] {
	if r.running >= r.Limit() || r.pacer.Delay(now) > 0 {
		return nil
	}
	req, ok := r.queue.pop(now)
	if !ok {
		return nil
	}
	req.queued = false
	r.start(now, req)
	return req
}

// Done records the end of a run. The argument answered reports whether the
// server answered the request.
func (r *Runner[T]) Done(now time.Time, req *Request[T], answered bool) {
	if !req.running {
		return
	}
	req.running = false
	r.running--
	r.startOffsetSum -= req.started.Sub(r.epoch)
	elapsed := now.Sub(req.started)
	// The duration of an abandoned run is only a lower bound of its service
	// time.
	if answered || elapsed > r.serviceTime {
		if r.serviceTime == 0 {
			r.serviceTime = elapsed
		}
		r.serviceTime += time.Duration(serviceTimeWeight * float64(elapsed-r.serviceTime))
	}
}

// Cancel removes req from the queue and reports whether it was queued.
func (r *Runner[T]) Cancel(req *Request[T]) bool {
	if !req.queued {
		return false
	}
	req.queued = false
	r.queue.remove(req)
	return true
}

// Expire removes the queued requests that can no longer meet their deadlines
// and appends them to out.
func (r *Runner[T]) Expire(now time.Time, out []*Request[T]) []*Request[T] {
	first := len(out)
	out = r.queue.appendExpired(now, out)
	for _, req := range out[first:] {
		r.Cancel(req)
	}
	return out
}

// Flush removes all queued requests and appends them to out.
func (r *Runner[T]) Flush(out []*Request[T]) []*Request[T] {
	for {
		req, ok := r.queue.pop(time.Time{})
		if !ok {
			return out
		}
		req.queued = false
		out = append(out, req)
	}
}

// Running returns the number of running requests.
func (r *Runner[T]) Running() int { return r.running }

// Queued returns the number of queued requests.
func (r *Runner[T]) Queued() int { return r.queue.Len() }

// MeanServiceTime returns the weighted mean service time of recent runs, or 0 if
// none has completed.
func (r *Runner[T]) MeanServiceTime() time.Duration { return r.serviceTime }

// Time returns the estimated service time: the mean of recent runs or, if it is
// longer, the mean age of the running requests. The age exposes a server that
// has become slow before its runs complete.
func (r *Runner[T]) Time(now time.Time) time.Duration {
	if r.running == 0 {
		return r.serviceTime
	}
	return max(r.serviceTime, now.Sub(r.epoch)-r.startOffsetSum/time.Duration(r.running))
}
