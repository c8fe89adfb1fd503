package runner

import (
	"time"

	"github.com/papayapath/papayapath/pkg/edf"
	"github.com/papayapath/papayapath/pkg/priority"
	"github.com/papayapath/papayapath/pkg/queue"
)

// waiting holds the queued requests in the order in which they start.
type waiting[T any] interface {
	Len() int
	// add queues a request with an expected service time. If there are more than limit
	// then, the last one leaves, which may be the new one, and is returned.
	add(now time.Time, req *Request[T], usual time.Duration, expires time.Time, limit int) (left *Request[T])
	pop(now time.Time) (*Request[T], bool)
	remove(req *Request[T])
	appendExpired(now time.Time, out []*Request[T]) []*Request[T]
}

// arrivals orders requests by their priority, and then by their arrival.
type arrivals[T any] struct{ *queue.Queue[*Request[T]] }

func newArrivals[T any]() arrivals[T] { return arrivals[T]{queue.New[*Request[T]]()} }

func (a arrivals[T]) add(_ time.Time, req *Request[T], _ time.Duration, expires time.Time, limit int) (left *Request[T]) {
	if a.Len() >= limit {
		lowest, ok := a.Lowest()
		if !ok || lowest.Priority >= req.Priority {
			return req
		}
		left, _ = a.Evict()
	}
	req.handle = int32(a.Push(req.Priority, expires, req))
	return left
}

func (a arrivals[T]) pop(time.Time) (*Request[T], bool) { return a.Pop() }

func (a arrivals[T]) remove(req *Request[T]) { a.Remove(queue.Handle(req.handle)) }

func (a arrivals[T]) appendExpired(now time.Time, out []*Request[T]) []*Request[T] {
	return a.AppendExpired(now, out)
}

// deadlines orders requests by their importance, and then by their latest useful start.
type deadlines[T any] struct{ *edf.Queue[*Request[T]] }

func newDeadlines[T any]() deadlines[T] { return deadlines[T]{edf.New[*Request[T]]()} }

func (d deadlines[T]) add(now time.Time, req *Request[T], usual time.Duration, expires time.Time, limit int) (left *Request[T]) {
	useful := req.Useful
	if useful.IsZero() || useful.After(req.Expires) {
		useful = req.Expires
	}
	req.handle = int32(d.Push(edf.Key{
		Level: uint16(min(req.Priority, priority.Count-1) / priority.Steps), Useful: useful.Add(-usual), Expires: expires,
	}, req))
	if d.Len() > limit {
		left, _ = d.Evict(now)
	}
	return left
}

func (d deadlines[T]) pop(now time.Time) (*Request[T], bool) { return d.Pop(now) }

func (d deadlines[T]) remove(req *Request[T]) { d.Remove(edf.Handle(req.handle)) }

func (d deadlines[T]) appendExpired(now time.Time, out []*Request[T]) []*Request[T] {
	return d.AppendExpired(now, out)
}
