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

func (q queue) Len() int       { return len(q) }
func (q queue) Swap(i, j int)  { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(item any) { *q = append(*q, item.(event)) }

func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}

func (q *queue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return item
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
func (s *Scheduler) Now() time.Time { return s.now }

// AfterFunc schedules a call of callback after d.
func (s *Scheduler) AfterFunc(d time.Duration, callback func()) {
	s.sequence++
	heap.Push(&s.queue, event{at: s.now.Add(d), sequence: s.sequence, callback: callback})
}

// Run advances virtual time by d and runs the events that become due.
func (s *Scheduler) Run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.callback()
	}
	s.now = end
}
