package queue

import (
	"math/bits"
	"time"

	"github.com/papayapath/papayapath/pkg/priority"
)

const (
	// ranks is the number of distinct priorities. A priority above the highest
	// importance comes only from a faulty peer and maps to the highest rank.
	ranks = int(priority.Count)
	// wordBits is the number of bits in a word of the occupancy bitmap.
	wordBits = 64
	// none is the nil index of the linked lists.
	none = -1
)

// Handle identifies an item from Push until its removal.
type Handle int32

// Queue is a priority queue with FIFO order among items of equal priority. Push,
// Pop, Evict and Remove take constant time and do not allocate unless the queue
// exceeds its previous maximum length.
//
// A Queue must not be copied after its first use.
type Queue[T any] struct {
	lists    [ranks]list
	occupied [ranks / wordBits]uint64 // bitmap of the nonempty lists
	items    []item[T]
	free     int32 // head of the free list
	size     int
	earliest time.Time // lower bound of the expiry times
}

// list is the doubly linked list of the items of one rank, in FIFO order.
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

// Push adds v with priority p and the given expiry time.
func (q *Queue[T]) Push(p priority.Priority, expires time.Time, v T) Handle {
	i := q.allocate()
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

// Pop removes the oldest item of the highest priority.
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

// Remove removes the item with handle h and returns its value. It panics if the
// item is not queued.
func (q *Queue[T]) Remove(h Handle) T {
	it := &q.items[h]
	if !it.queued {
		panic(panicStaleHandle)
	}
	q.unlink(it)
	v := it.value
	*it = item[T]{next: q.free}
	q.free = int32(h)
	q.size--
	return v
}

// AppendExpired appends the expired items to out. It does not remove them.
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

// Ascend calls yield for the items in eviction order, from the lowest priority
// upwards, until yield returns false. The queue must not be modified during the
// iteration.
func (q *Queue[T]) Ascend(yield func(T) bool) {
	for w := range q.occupied {
		for word := q.occupied[w]; word != 0; word &= word - 1 {
			r := w*wordBits + bits.TrailingZeros64(word)
			for i := q.lists[r].last; i != none; i = q.items[i].prev {
				if !yield(q.items[i].value) {
					return
				}
			}
		}
	}
}

// allocate returns the index of an unused item.
func (q *Queue[T]) allocate() int32 {
	if q.free == none {
		q.items = append(q.items, item[T]{})
		return int32(len(q.items) - 1)
	}
	i := q.free
	q.free = q.items[i].next
	return i
}

// link appends the item with index i to the list of its rank.
func (q *Queue[T]) link(i int32, it *item[T]) {
	l := &q.lists[it.rank]
	word, bit := it.rank/wordBits, uint64(1)<<(it.rank%wordBits)
	if q.occupied[word]&bit == 0 {
		q.occupied[word] |= bit
		l.first, l.last = i, i
		return
	}
	it.prev = l.last
	q.items[l.last].next = i
	l.last = i
}

// unlink removes an item from the list of its rank.
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
		q.occupied[it.rank/wordBits] &^= uint64(1) << (it.rank % wordBits)
	}
}

// highest returns the highest occupied rank, or none.
func (q *Queue[T]) highest() int {
	if q.size == 0 {
		return none
	}
	for w := len(q.occupied) - 1; w >= 0; w-- {
		if q.occupied[w] != 0 {
			return w*wordBits + wordBits - 1 - bits.LeadingZeros64(q.occupied[w])
		}
	}
	return none
}

// lowest returns the lowest occupied rank, or none.
func (q *Queue[T]) lowest() int {
	if q.size == 0 {
		return none
	}
	for w, word := range q.occupied {
		if word != 0 {
			return w*wordBits + bits.TrailingZeros64(word)
		}
	}
	return none
}

// rankOf returns the rank of p, limited to the highest one.
func rankOf(p priority.Priority) int32 { return min(int32(p), int32(ranks-1)) }
