package timeline

import (
	"container/heap"
	"time"
)

// event is something that happens at a point in virtual time.
type event struct {
	at    time.Time
	order uint64 // events at the same time happen in the order of their entry
	do    func()
}

// events is a heap of events, the next one first.
type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}

func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// Scheduler is virtual time with the events that are due in it. It is not safe
// for concurrent use.
type Scheduler struct {
	now    time.Time
	events events
	order  uint64
}

// New returns a timeline that stands at start.
func New(start time.Time) *Scheduler { return &Scheduler{now: start} }

// Now returns the present virtual time.
func (t *Scheduler) Now() time.Time { return t.now }

// AfterFunc enters an event that happens in d.
func (t *Scheduler) AfterFunc(d time.Duration, do func()) {
	t.order++
	heap.Push(&t.events, event{at: t.now.Add(d), order: t.order, do: do})
}

// Run lets virtual time pass.
func (t *Scheduler) Run(d time.Duration) {
	end := t.now.Add(d)
	for len(t.events) > 0 && !t.events[0].at.After(end) {
		next := heap.Pop(&t.events).(event)
		t.now = next.at
		next.do()
	}
	t.now = end
}
