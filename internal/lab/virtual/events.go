package virtual

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

// after enters an event that happens in d.
func (w *World) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now.Add(d), order: w.order, do: do})
}

// Run lets virtual time pass.
func (w *World) Run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.do()
	}
	w.now = end
}
