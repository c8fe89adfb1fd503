package acceptor_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/papayapath/papayapath/pkg/acceptor"
	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/priority"
)

// event is something that happens at one moment of virtual time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// phase is one part of a run: time at a station, or waiting for a child call.
type phase struct {
	station *station
	mean    time.Duration
	child   bool
}

// station serves so many calls at once and queues the others; 0 is no bound.
type station struct {
	workers, busy int
	waiting       []func()
}

// sim drives an Acceptor and a model of its backend server in virtual time.
type sim struct {
	rng       *rand.Rand
	now       time.Duration
	events    events
	scheduled int
	a         *acceptor.Acceptor
	out       []action.Action
	phases    []phase
	spread    float64 // 0 for constant service times, 1 for exponential ones
	slow      func(time.Duration) float64
	childSlow func(time.Duration) float64
	rate      func(time.Duration) float64
	blind     bool // child calls are not reported to the acceptor
	deadline  time.Duration
	critical  float64 // part of the calls that is Critical
	calls     map[uint64]*simCall
	seq       uint64
	good      []int // answers in time per 100 ms
	arrived   []int // first offers per 100 ms
	served    []int // answers in time by the time of the first offer
	refused   [4]int
	offered   [4]int
	inverted  int
	lastLower time.Duration
	tries     int // resends of a refused call
	runTime   float64
	runs      int
	early     bool // callers refuse calls below the last threshold they have seen
	seen      priority.Priority
	seenAt    time.Duration
	held      int
	countFrom time.Duration
}

type simCall struct {
	offer *message.Offer
	begun time.Duration
	ran   time.Duration
	tries int
	ended bool
}

const bucket = 100 * time.Millisecond

func newSim(seed uint64, slots int, phases ...phase) *sim {
	one := func(time.Duration) float64 { return 1 }
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, seed)), a: acceptor.New(self), phases: phases, spread: 1,
		slow: one, childSlow: one, deadline: time.Second, calls: map[uint64]*simCall{}, lastLower: -time.Second,
	}
	s.a.Announce(start, "calendars", slots)
	return s
}

func (s *sim) clock() time.Time { return start.Add(s.now) }

func (s *sim) after(d time.Duration, do func()) {
	s.scheduled++
	heap.Push(&s.events, event{at: s.now + d, seq: s.scheduled, do: do})
}

// run plays the load until end.
func (s *sim) run(end time.Duration) {
	s.good, s.arrived, s.served = make([]int, end/bucket+1), make([]int, end/bucket+1), make([]int, end/bucket+1)
	s.arrive()
	s.tick()
	for len(s.events) > 0 && s.events[0].at < end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

func (s *sim) tick() {
	s.act(s.a.Tick(s.clock(), s.out[:0]))
	s.after(10*time.Millisecond, s.tick)
}

func (s *sim) arrive() {
	s.after(time.Duration(s.rng.ExpFloat64()/s.rate(s.now)*float64(time.Second)), func() {
		level := importance.Level(s.rng.IntN(3))
		if s.rng.Float64() < s.critical {
			level = importance.Critical
		}
		s.arrived[s.now/bucket]++
		if s.now >= s.countFrom {
			s.offered[level]++
		}
		s.offer(priority.Lowest(level)|priority.Priority(s.rng.IntN(priority.Steps)), s.now, s.tries)
		s.arrive()
	})
}

func (s *sim) offer(p priority.Priority, begun time.Duration, tries int) {
	if s.early && p < s.seen && s.now-s.seenAt < 100*time.Millisecond {
		s.held++
		s.refuse(p.Level())
		return
	}
	s.seq++
	o := offerOf(s.seq, p.Level())
	o.Priority, o.Remaining = p, begun+s.deadline-s.now
	s.calls[s.seq] = &simCall{offer: o, begun: begun, tries: tries}
	s.act(s.a.Offer(s.clock(), peer, o, s.out[:0]))
}

func (s *sim) act(actions []action.Action) {
	for _, x := range append([]action.Action(nil), actions...) {
		switch x.Kind {
		case action.Run:
			c := s.calls[x.Offer.Call.Seq]
			if x.Offer.Priority.Level() < importance.Critical {
				s.lastLower = s.now
			}
			c.ran = s.now
			s.phase(c, 0)
		case action.Abort:
			s.calls[x.Cancel.Call.Seq].ended = true
		case action.Answer:
			s.answered(x.Answer)
		}
	}
}

func (s *sim) answered(a *message.Answer) {
	c := s.calls[a.Call.Seq]
	s.seen, s.seenAt = a.Threshold, s.now
	delete(s.calls, a.Call.Seq)
	level := c.offer.Priority.Level()
	switch {
	case a.Outcome == outcome.Complete && s.now-c.begun <= s.deadline:
		s.good[s.now/bucket]++
		s.served[c.begun/bucket]++
		s.runTime += (s.now - c.ran).Seconds()
		s.runs++
		return
	case a.Reason == outcome.Overload && level == importance.Critical && s.now-s.lastLower < bucket && s.now >= s.countFrom:
		s.inverted++
	}
	if a.Outcome == outcome.NotRun && c.tries > 0 {
		s.after(10*time.Millisecond, func() { s.offer(c.offer.Priority, c.begun, c.tries-1) })
		return
	}
	s.refuse(level)
}

func (s *sim) refuse(level importance.Level) {
	if s.now >= s.countFrom {
		s.refused[level]++
	}
}

// phase runs the call through the backend server from one phase on.
func (s *sim) phase(c *simCall, i int) {
	if i == len(s.phases) {
		if !c.ended {
			s.act(s.a.Done(s.clock(), c.offer.Call, 1, complete, s.out[:0]))
		}
		return
	}
	p := s.phases[i]
	if p.child {
		s.child(c, i)
		return
	}
	s.serve(p.station, func() {
		s.after(s.draw(p.mean, s.slow(s.now)), func() {
			s.leave(p.station)
			s.phase(c, i+1)
		})
	})
}

func (s *sim) child(c *simCall, i int) {
	if !s.blind && !c.ended {
		s.act(s.a.BeginChild(s.clock(), c.offer.Call, s.out[:0]))
	}
	s.after(s.draw(s.phases[i].mean, s.childSlow(s.now)), func() {
		if !s.blind && !c.ended {
			s.a.EndChild(s.clock(), c.offer.Call)
		}
		s.phase(c, i+1)
	})
}

func (s *sim) serve(st *station, do func()) {
	if st.workers > 0 && st.busy >= st.workers {
		st.waiting = append(st.waiting, do)
		return
	}
	st.busy++
	do()
}

func (s *sim) leave(st *station) {
	st.busy--
	s.restore(st, st.workers)
}

// restore gives a station its workers back.
func (s *sim) restore(st *station, workers int) {
	st.workers = workers
	for len(st.waiting) > 0 && st.busy < st.workers {
		next := st.waiting[0]
		st.waiting = st.waiting[1:]
		s.serve(st, next)
	}
}

func (s *sim) draw(mean time.Duration, slow float64) time.Duration {
	return time.Duration(float64(mean) * slow * (1 - s.spread + s.spread*s.rng.ExpFloat64()))
}

// goodput returns the answers in time per second from one moment to another.
func (s *sim) goodput(from, to time.Duration) float64 {
	sum := 0
	for _, n := range s.good[from/bucket : to/bucket] {
		sum += n
	}
	return float64(sum) / (to - from).Seconds()
}

// recovery returns the time from one moment until 95% of the calls that arrive
// are answered in time, held for a second.
func (s *sim) recovery(from time.Duration) time.Duration {
	last := from
	for at := from; at+time.Second <= time.Duration(len(s.good)-1)*bucket-s.deadline; at += bucket {
		arrived, served := 0, 0
		for i := at / bucket; i < (at+time.Second)/bucket; i++ {
			arrived += s.arrived[i]
			served += s.served[i]
		}
		if float64(served) < 0.95*float64(arrived) {
			last = at + bucket
		}
	}
	return last - from
}
