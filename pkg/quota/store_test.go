package quota_test

import (
	"errors"
	"time"

	"github.com/papayapath/papayapath/pkg/term"
)

// store is the log with one partition for each part, in virtual time.
type store struct {
	world      *world
	generation uint64
	partitions [term.Parts][]term.Record
	copies     [][term.Parts]int // ends of the partitions, once a second
	down       time.Duration     // all calls are lost until then
	refuses    map[*node]time.Duration
	late       float64 // part of the appends that take effect late
	lost       float64 // part of the answers that are lost
}

const (
	callTimeout = 2 * time.Second
	maxLate     = 6 * time.Second
)

var errNoAnswer = errors.New("no answer")

// call plays a call of a process: effect runs at the store, answer at the process
// with ok false if there is no answer in time.
func (s *store) call(n *node, effect func(), answer func(ok bool)) {
	w, answered := s.world, false
	end := func(ok bool) {
		if !answered {
			answered = true
			answer(ok)
		}
	}
	n.at(callTimeout, func() { end(false) })
	d := time.Duration(w.random.Int64N(int64(10 * time.Millisecond)))
	if w.random.Float64() < s.late {
		d = time.Duration(w.random.Int64N(int64(maxLate)))
	}
	if w.now < s.refuses[n] {
		return
	}
	w.after(d, func() {
		if w.now < s.down {
			return
		}
		effect()
		generation := s.generation
		if w.random.Float64() < s.lost {
			return
		}
		n.at(time.Duration(w.random.Int64N(int64(n.slow))), func() {
			n.generation = max(n.generation, generation)
			end(true)
		})
	})
}

func (s *store) append(n *node, part int, a term.Action) {
	t := n.terms[part]
	var result term.Result
	var end int64
	s.call(n, func() {
		result = term.Conflict
		if int64(len(s.partitions[part])) == a.At {
			s.partitions[part] = append(s.partitions[part], a.Record)
			result, end = term.Done, a.At+1
		}
	}, func(ok bool) {
		if !ok {
			result = term.Unknown
		}
		if n.faults.lateStart {
			t.Begin(n.now(), a)
		}
		t.Appended(n.now(), end, n.knownGeneration(), result)
		n.announce(part)
	})
}

func (s *store) read(n *node, part int) {
	t, before := n.terms[part], n.generation
	var r term.Record
	var end int
	s.call(n, func() {
		if end = len(s.partitions[part]); end > 0 {
			r = s.partitions[part][end-1]
		}
	}, func(ok bool) {
		if !ok || n.generation != before {
			t.Refreshed(n.now(), r, 0, 0, errNoAnswer)
			return
		}
		t.Refreshed(n.now().Add(-n.faults.early), r, int64(end), n.knownGeneration(), nil)
	})
}

// keep copies the state of the store once a second.
func (s *store) keep() {
	var ends [term.Parts]int
	for i := range s.partitions {
		ends[i] = len(s.partitions[i])
	}
	s.copies = append(s.copies, ends)
	s.world.after(time.Second, s.keep)
}

// restore brings the store back as it was some seconds before.
func (s *store) restore(age int) {
	ends := s.copies[max(0, len(s.copies)-1-age)]
	for i := range s.partitions {
		s.partitions[i] = s.partitions[i][:min(ends[i], len(s.partitions[i]))]
	}
	s.generation++
	for i := max(0, len(s.copies)-age); i < len(s.copies); i++ {
		s.copies[i] = ends
	}
}
