package edf

import (
	"math"
	"time"
)

// none is the nil index of the tree.
const none = -1

// Handle identifies an item from Push until its removal.
type Handle int32

// Key is the place of an item in the order.
type Key struct {
	// Level precedes all else. Items of a higher level come first.
	Level uint16
	// Useful is the latest start that meets the objective of the item. Among items of
	// one level, those that still can meet it come first, earliest Useful first.
	Useful time.Time
	// Expires is the latest start at all. It orders the items that can no longer meet
	// their objective.
	Expires time.Time
}

// Queue is a priority queue whose order changes with time: an item that is not removed
// before its latest useful start goes behind those of its level that can still meet their
// objective. All methods but AppendExpired take logarithmic time and do not allocate
// unless the queue exceeds its previous maximum length.
//
// A Queue must not be copied after its first use, and is not safe for concurrent use.
type Queue[T any] struct {
	// The items are nodes of a treap, a binary search tree by rank that is a heap by a
	// pseudorandom weight, which keeps it balanced.
	nodes    []node[T]
	root     int32
	free     int32 // head of the free list
	size     int
	pushed   uint64    // number of items ever pushed
	epoch    time.Time // origin of the times in ranks
	earliest time.Duration
}

// rank is the place of an item. Smaller ranks come first.
type rank struct {
	group int32         // level, the highest first, and whether the item is late
	at    time.Duration // time that orders the items of a group, since the epoch
	seq   uint64        // order of arrival
}

func (r rank) less(s rank) bool {
	switch {
	case r.group != s.group:
		return r.group < s.group
	case r.at != s.at:
		return r.at < s.at
	}
	return r.seq < s.seq
}

type node[T any] struct {
	value               T
	rank                rank
	expires             time.Duration // since the epoch
	weight              uint64
	parent, left, right int32
	queued              bool
}

// lateBit marks the groups of the items that can no longer meet their objective.
const lateBit = 1

// New returns an empty queue.
func New[T any]() *Queue[T] { return &Queue[T]{root: none, free: none} }

// Len returns the number of items.
func (q *Queue[T]) Len() int { return q.size }

// Push adds v.
func (q *Queue[T]) Push(k Key, v T) Handle {
	if q.epoch.IsZero() {
		q.epoch = k.Expires
	}
	i := q.allocate()
	q.pushed++
	expires := k.Expires.Sub(q.epoch)
	q.nodes[i] = node[T]{
		value:   v,
		rank:    rank{group: int32(math.MaxUint16-k.Level) << 1, at: k.Useful.Sub(q.epoch), seq: q.pushed},
		expires: expires, weight: scramble(q.pushed),
		queued: true,
	}
	if q.size == 0 || expires < q.earliest {
		q.earliest = expires
	}
	q.size++
	q.insert(i)
	return Handle(i)
}

// Pop removes the first item.
func (q *Queue[T]) Pop(now time.Time) (v T, ok bool) {
	for i := q.first(); i != none; i = q.first() {
		if !q.delay(now, i) {
			return q.Remove(Handle(i)), true
		}
	}
	return v, false
}

// Last returns the item that Evict would remove.
func (q *Queue[T]) Last(now time.Time) (v T, ok bool) {
	i := q.last(now)
	if i == none {
		return v, false
	}
	return q.nodes[i].value, true
}

// Evict removes the last item.
func (q *Queue[T]) Evict(now time.Time) (v T, ok bool) {
	i := q.last(now)
	if i == none {
		return v, false
	}
	return q.Remove(Handle(i)), true
}

// Remove removes the item with handle h and returns its value. It panics if the item is
// not queued.
func (q *Queue[T]) Remove(h Handle) T {
	i := int32(h)
	if !q.nodes[i].queued {
		panic(panicStaleHandle)
	}
	q.detach(i)
	v := q.nodes[i].value
	q.nodes[i] = node[T]{left: q.free}
	q.free = i
	q.size--
	return v
}

// AppendExpired appends the items whose latest start has passed to out, the first to
// expire first within each level. It does not remove them.
func (q *Queue[T]) AppendExpired(now time.Time, out []T) []T {
	if q.size == 0 || now.Sub(q.epoch) < q.earliest {
		return out
	}
	q.earliest = math.MaxInt64
	for i := q.first(); i != none; i = q.next(i) {
		n := &q.nodes[i]
		if n.expires <= now.Sub(q.epoch) {
			out = append(out, n.value)
		}
		q.earliest = min(q.earliest, n.expires)
	}
	return out
}

// first returns the first item by rank, or none.
func (q *Queue[T]) first() int32 { return q.leftmost(q.root) }

// last returns the last item, or none. The late items of its level are moved first.
func (q *Queue[T]) last(now time.Time) int32 {
	i := q.rightmost(q.root)
	if i == none {
		return none
	}
	group := q.nodes[i].rank.group &^ lateBit
	for first := q.firstOf(group); first != none && q.nodes[first].rank.group == group && q.delay(now, first); {
		first = q.firstOf(group)
	}
	return q.rightmost(q.root)
}

// delay moves an item behind those of its level that can meet their objective, if it no
// longer can itself.
func (q *Queue[T]) delay(now time.Time, i int32) bool {
	n := &q.nodes[i]
	if n.rank.group&lateBit != 0 || now.Sub(q.epoch) <= n.rank.at {
		return false
	}
	q.detach(i)
	n.rank.group |= lateBit
	n.rank.at = n.expires
	q.insert(i)
	return true
}

// firstOf returns the first item of a group or of those behind it, or none.
func (q *Queue[T]) firstOf(group int32) int32 {
	found := int32(none)
	for i := q.root; i != none; {
		if q.nodes[i].rank.group >= group {
			found, i = i, q.nodes[i].left
		} else {
			i = q.nodes[i].right
		}
	}
	return found
}

func (q *Queue[T]) leftmost(i int32) int32 {
	for i != none && q.nodes[i].left != none {
		i = q.nodes[i].left
	}
	return i
}

func (q *Queue[T]) rightmost(i int32) int32 {
	for i != none && q.nodes[i].right != none {
		i = q.nodes[i].right
	}
	return i
}

// next returns the item that follows i by rank, or none.
func (q *Queue[T]) next(i int32) int32 {
	if right := q.nodes[i].right; right != none {
		return q.leftmost(right)
	}
	for p := q.nodes[i].parent; p != none; i, p = p, q.nodes[p].parent {
		if q.nodes[p].left == i {
			return p
		}
	}
	return none
}

// insert adds a node to the tree.
func (q *Queue[T]) insert(i int32) {
	n := &q.nodes[i]
	n.parent, n.left, n.right = none, none, none
	for at := q.root; at != none; {
		n.parent = at
		if n.rank.less(q.nodes[at].rank) {
			at = q.nodes[at].left
		} else {
			at = q.nodes[at].right
		}
	}
	switch {
	case n.parent == none:
		q.root = i
	case n.rank.less(q.nodes[n.parent].rank):
		q.nodes[n.parent].left = i
	default:
		q.nodes[n.parent].right = i
	}
	for n.parent != none && q.nodes[n.parent].weight < n.weight {
		q.raise(i)
	}
}

// detach removes a node from the tree.
func (q *Queue[T]) detach(i int32) {
	n := &q.nodes[i]
	for n.left != none && n.right != none {
		if q.nodes[n.left].weight > q.nodes[n.right].weight {
			q.raise(n.left)
		} else {
			q.raise(n.right)
		}
	}
	q.replace(n.parent, i, max(n.left, n.right))
}

// raise rotates a node and its parent, which becomes its child.
func (q *Queue[T]) raise(i int32) {
	n := &q.nodes[i]
	p := n.parent
	parent := &q.nodes[p]
	q.replace(parent.parent, p, i)
	var moved int32
	if parent.left == i {
		moved = n.right
		parent.left, n.right = moved, p
	} else {
		moved = n.left
		parent.right, n.left = moved, p
	}
	parent.parent = i
	if moved != none {
		q.nodes[moved].parent = p
	}
}

// replace puts a node, or none, into the place of a child of p, or of the root if p is
// none.
func (q *Queue[T]) replace(p, child, by int32) {
	switch {
	case p == none:
		q.root = by
	case q.nodes[p].left == child:
		q.nodes[p].left = by
	default:
		q.nodes[p].right = by
	}
	if by != none {
		q.nodes[by].parent = p
	}
}

// allocate returns the index of an unused node.
func (q *Queue[T]) allocate() int32 {
	if q.free == none {
		q.nodes = append(q.nodes, node[T]{})
		return int32(len(q.nodes) - 1)
	}
	i := q.free
	q.free = q.nodes[i].left
	return i
}

// scramble returns a pseudorandom number for each number (the finalizer of SplitMix64).
func scramble(v uint64) uint64 {
	v *= 0x9e3779b97f4a7c15
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}
