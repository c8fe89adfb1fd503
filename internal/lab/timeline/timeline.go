package timeline

import (
	"container/heap"
	"time"
)

// event is a callback that is due at a virtual time.
type event struct {
	at       time.Time
	sequence uint64 // breaks ties: events due at the same time run in scheduling order
	callback func()
}

// queue is a min-heap of events, ordered by due time.
type queue []event

func (e queue) Len() int      { return len(e) }
func (e queue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *queue) Push(x any)   { *e = append(*e, x.(event)) }

func (e queue) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}

func (e *queue) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// Scheduler runs events in the order of virtual time. It is not safe for
// concurrent use.
type Scheduler struct {
	now      time.Time
	queue    queue
	sequence uint64
}

// New returns a scheduler whose virtual time is start.
func New(start time.Time) *Scheduler { return &Scheduler{now: start} }

// Now returns the current virtual time.
func (t *Scheduler) Now() time.Time { return t.now }

// AfterFunc schedules a call of callback after d.
func (t *Scheduler) AfterFunc(d time.Duration, callback func()) {
	t.sequence++
	heap.Push(&t.queue, event{at: t.now.Add(d), sequence: t.sequence, callback: callback})
}

// Run advances virtual time by d and runs the events that become due.
func (t *Scheduler) Run(d time.Duration) {
	end := t.now.Add(d)
	for len(t.queue) > 0 && !t.queue[0].at.After(end) {
		next := heap.Pop(&t.queue).(event)
		t.now = next.at
		next.callback()
	}
	t.now = end
}
