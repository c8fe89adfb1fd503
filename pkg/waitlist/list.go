package waitlist

import (
	"slices"
	"time"

	"github.com/papayapath/papayapath/pkg/priority"
)

// List is a short list of requests in the order in which they are admitted: those of
// higher importance first, and of the others those that came first. Requests of one window
// have the same latency objective, so these are the ones that have to start first.
//
// A List is not safe for concurrent use. The zero value is empty.
type List[T comparable] struct {
	items []item[T]
}

type item[T comparable] struct {
	value    T
	priority priority.Priority
	expires  time.Time
}

// Len returns the number of requests.
func (l *List[T]) Len() int { return len(l.items) }

// Add adds a request that waits until expires. If there are more than limit then, the
// last one has to leave, which is returned and may be the new one.
func (l *List[T]) Add(v T, p priority.Priority, expires time.Time, limit int) (left T, isFull bool) {
	rank := p / priority.Steps
	at, _ := slices.BinarySearchFunc(l.items, rank, func(i item[T], rank priority.Priority) int {
		if i.priority/priority.Steps >= rank {
			return -1
		}
		return 1
	})
	l.items = slices.Insert(l.items, at, item[T]{value: v, priority: p, expires: expires})
	if len(l.items) <= limit {
		return left, false
	}
	last := len(l.items) - 1
	left = l.items[last].value
	l.drop(last)
	return left, true
}

// Next removes the first request that still waits at now. It returns false if there is
// none.
func (l *List[T]) Next(now time.Time) (v T, ok bool) {
	for len(l.items) > 0 && !ok {
		first := l.items[0]
		v, ok = first.value, now.Before(first.expires)
		l.drop(0)
	}
	return v, ok
}

// Remove removes a request. It returns false if it is not in the list.
func (l *List[T]) Remove(v T) bool {
	at := slices.IndexFunc(l.items, func(i item[T]) bool { return i.value == v })
	if at < 0 {
		return false
	}
	l.drop(at)
	return true
}

// drop removes the item at an index.
func (l *List[T]) drop(at int) {
	last := len(l.items) - 1
	copy(l.items[at:], l.items[at+1:])
	l.items[last] = item[T]{}
	l.items = l.items[:last]
}
