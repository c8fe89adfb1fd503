package queue

import (
	"math/bits"
	"time"

	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/priority"
)

const (
	// ranks is the number of priorities that are told apart. A priority above
	// the highest importance can come only from a faulty peer; it counts as
	// the highest rank.
	ranks = (int(importance.Critical) + 1) * priority.Steps
	// wordBits is the width of a word of the set of ranks in use.
	wordBits = 64
	// none ends a list of items.
	none = -1
)

// Handle names an item from Push until it leaves the queue.
type Handle int32

// Queue holds items in order of priority, and in order of arrival where the
// priority is equal. Push, Pop, Evict and Remove take constant time and do not
// allocate once the queue has had its present length before.
//
// A Queue must not be copied after its first use.
type Queue[T any] struct {
	lists    [ranks]list
	used     [ranks / wordBits]uint64
	items    []item[T]
	free     int32
	size     int
	earliest time.Time
}

// list is the items of one rank.
type list struct{ first, last int32 }

type item[T any] struct {
	value      T
	expires    time.Time
	rank       int32
	prev, next int32
	queued     bool
}

// New returns an empty queue.
func New[T any]() *Queue[T] { return &Queue[T]{free: none} }

// Len returns the number of items.
func (q *Queue[T]) Len() int { return q.size }

// Push adds v, which is due from the time expires on.
func (q *Queue[T]) Push(p priority.Priority, expires time.Time, v T) Handle {
	i := q.take()
	it := &q.items[i]
	*it = item[T]{value: v, expires: expires, rank: rankOf(p), prev: none, next: none, queued: true}
	q.link(i, it)
	if q.size == 0 || expires.Before(q.earliest) {
		q.earliest = expires
	}
	q.size++
	return Handle(i)
}

// Peek returns the item that Pop would remove.
func (q *Queue[T]) Peek() (v T, ok bool) {
	r := q.highest()
	if r == none {
		return v, false
	}
	return q.items[q.lists[r].first].value, true
}

// Pop removes the item of the highest priority that has waited longest.
func (q *Queue[T]) Pop() (v T, ok bool) {
	r := q.highest()
	if r == none {
		return v, false
	}
	return q.Remove(Handle(q.lists[r].first)), true
}

// Lowest returns the item that Evict would remove.
func (q *Queue[T]) Lowest() (v T, ok bool) {
	r := q.lowest()
	if r == none {
		return v, false
	}
	return q.items[q.lists[r].last].value, true
}

// Evict removes the newest item of the lowest priority.
func (q *Queue[T]) Evict() (v T, ok bool) {
	r := q.lowest()
	if r == none {
		return v, false
	}
	return q.Remove(Handle(q.lists[r].last)), true
}

// Remove takes out the item that Push named h, which must still be queued.
func (q *Queue[T]) Remove(h Handle) T {
	it := &q.items[h]
	if !it.queued {
		panic(panicHandle)
	}
	q.unlink(it)
	v := it.value
	*it = item[T]{next: q.free}
	q.free = int32(h)
	q.size--
	return v
}

// AppendExpired appends to out the items whose time has come. They stay in the queue.
func (q *Queue[T]) AppendExpired(now time.Time, out []T) []T {
	if q.size == 0 || now.Before(q.earliest) {
		return out
	}
	var earliest time.Time
	for i := range q.items {
		it := &q.items[i]
		if !it.queued {
			continue
		}
		if !now.Before(it.expires) {
			out = append(out, it.value)
		}
		if earliest.IsZero() || it.expires.Before(earliest) {
			earliest = it.expires
		}
	}
	q.earliest = earliest
	return out
}

// Ascend calls yield for the items from the lowest priority upwards until it
// returns false. The queue must not change meanwhile.
func (q *Queue[T]) Ascend(yield func(T) bool) {
	for w := range q.used {
		for set := q.used[w]; set != 0; set &= set - 1 {
			r := w*wordBits + bits.TrailingZeros64(set)
			for i := q.lists[r].last; i != none; i = q.items[i].prev {
				if !yield(q.items[i].value) {
					return
				}
			}
		}
	}
}

// take returns an unused place among the items.
func (q *Queue[T]) take() int32 {
	if q.free == none {
		q.items = append(q.items, item[T]{})
		return int32(len(q.items) - 1)
	}
	i := q.free
	q.free = q.items[i].next
	return i
}

func (q *Queue[T]) link(i int32, it *item[T]) {
	l := &q.lists[it.rank]
	word, bit := it.rank/wordBits, uint64(1)<<(it.rank%wordBits)
	if q.used[word]&bit == 0 {
		q.used[word] |= bit
		l.first, l.last = i, i
		return
	}
	it.prev = l.last
	q.items[l.last].next = i
	l.last = i
}

func (q *Queue[T]) unlink(it *item[T]) {
	l := &q.lists[it.rank]
	if it.prev == none {
		l.first = it.next
	} else {
		q.items[it.prev].next = it.next
	}
	if it.next == none {
		l.last = it.prev
	} else {
		q.items[it.next].prev = it.prev
	}
	if l.first == none {
		q.used[it.rank/wordBits] &^= uint64(1) << (it.rank % wordBits)
	}
}

// highest returns the highest rank in use, or none.
func (q *Queue[T]) highest() int {
	for w := len(q.used) - 1; w >= 0; w-- {
		if q.used[w] != 0 {
			return w*wordBits + wordBits - 1 - bits.LeadingZeros64(q.used[w])
		}
	}
	return none
}

// lowest returns the lowest rank in use, or none.
func (q *Queue[T]) lowest() int {
	for w, set := range q.used {
		if set != 0 {
			return w*wordBits + bits.TrailingZeros64(set)
		}
	}
	return none
}

func rankOf(p priority.Priority) int32 { return min(int32(p), int32(ranks-1)) }
