package quota_test

import (
	"math/rand/v2"
	"time"

	"github.com/papayapath/papayapath/pkg/allocator"
	"github.com/papayapath/papayapath/pkg/quota"
	"github.com/papayapath/papayapath/pkg/term"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// bounds are those of the platform.
var bounds = allocator.Bounds{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}

// event is something that happens at a time, counted from origin.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

// events is a binary heap. Unlike container/heap it does not allocate.
type events []event

func (e events) less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e *events) push(v event) {
	*e = append(*e, v)
	h := *e
	for i := len(h) - 1; i > 0 && h.less(i, (i-1)/2); i = (i - 1) / 2 {
		h[i], h[(i-1)/2] = h[(i-1)/2], h[i]
	}
}

func (e *events) pop() event {
	h := *e
	first, n := h[0], len(h)-1
	h[0], h[n] = h[n], event{}
	*e, h = h[:n], h[:n]
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < n; c++ {
			if h.less(c, least) {
				least = c
			}
		}
		if least == i {
			return first
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
}

// world is a system of nodes in virtual time.
type world struct {
	now    time.Duration // since origin
	seq    int
	queue  events
	random *rand.Rand
	nodes  []*node
	// holder returns the node that a node asks for the tokens of a part.
	holder func(n *node, part int) (*node, bool)
	// grant answers a request for tokens at a node.
	grant func(n, from *node, part, customer, wanted int) (granted int, validity, wait time.Duration)
	// transit returns the time that a message takes, or false if it is lost.
	transit func(from, to *node) (time.Duration, bool)
	tallies []tally
	// distort changes an answer that arrives some time after its request was sent. It
	// may be nil.
	distort func(age, validity, wait time.Duration) (time.Duration, time.Duration)
	// refuse reports whether an admitted request is refused later. It may be nil.
	refuse func(n *node, expires time.Time) bool
	// admitted is told of each admitted request that is not refused. It may be nil.
	admitted func(n *node)
}

// tally counts what happened to the requests of a customer.
type tally struct {
	sent, refused, unavailable, messages int
	admitted                             []time.Duration
}

// node is an entry node and possibly an allocator.
type node struct {
	world       *world
	id, domain  int
	offset      time.Duration // of the clock
	drift       float64       // of the clock
	incarnation int64         // of the process; changes with a crash
	resumes     time.Duration
	allocator   *allocator.Allocator
	terms       [term.Parts]*term.Term
	periods     [term.Parts]uint64
	ranks       [term.Parts]int
	slow        time.Duration // the longest delay of answers of the store
	generation  uint64        // highest generation of the store heard of
	known       []int64       // highest incarnation heard of, for each node
	faults      *faults
	entries     []entry
	parts       []int
	requests    []quota.Request
}

// entry is the state of a customer at an entry node.
type entry struct {
	quota   *quota.Quota
	waiting []time.Duration // until when the waiting requests wait
}

const (
	// patience is the time for which a request waits for a token: an eighth of an
	// objective of 0.5 s.
	patience = 62 * time.Millisecond
	// wakeInterval is the time between two calls of Requests while requests wait.
	wakeInterval = 20 * time.Millisecond
)

func newWorld(seed uint64, nodes, customers int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), tallies: make([]tally, customers)}
	w.transit = func(*node, *node) (time.Duration, bool) {
		return time.Millisecond + time.Duration(w.random.Int64N(int64(2*time.Millisecond))), true
	}
	w.grant = func(n, _ *node, part, customer, wanted int) (int, time.Duration, time.Duration) {
		return n.allocator.Grant(n.now(), part, name(customer), wanted)
	}
	for i := range nodes {
		n := &node{world: w, id: i, allocator: allocator.New(bounds), entries: make([]entry, customers)}
		for c := range n.entries {
			n.entries[c].quota = quota.New()
		}
		w.nodes = append(w.nodes, n)
	}
	return w
}

func name(customer int) string { return string(rune('a' + customer)) }

// now returns the time of the node's clock.
func (n *node) now() time.Time {
	return origin.Add(n.world.now + n.offset + time.Duration(n.drift*float64(n.world.now)))
}

// after does something once a duration has passed.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	w.queue.push(event{at: w.now + d, seq: w.seq, do: do})
}

// run plays all events up to a time.
func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := w.queue.pop()
		w.now = e.at
		e.do()
	}
	w.now = until
}

// at lets the process that runs at the node now do something later: when it is resumed,
// if it is suspended then, and never if it has crashed.
func (n *node) at(d time.Duration, do func()) {
	incarnation := n.incarnation
	var try func()
	try = func() {
		switch {
		case n.incarnation != incarnation:
		case n.world.now < n.resumes:
			n.world.after(n.resumes-n.world.now, try)
		default:
			do()
		}
	}
	n.world.after(d, try)
}

// send lets the process at another node do something when a message has arrived.
func (n *node) send(to *node, do func()) {
	if d, ok := n.world.transit(n, to); ok {
		to.at(d, do)
	}
}

// take plays the arrival of a request of a customer.
func (n *node) take(customer int) {
	e, t := &n.entries[customer], &n.world.tallies[customer]
	t.sent++
	d, expires := e.quota.Take(n.now())
	switch d {
	case quota.Admitted:
		n.admit(customer, 1, expires)
	case quota.Denied:
		t.refused++
	case quota.Pending:
		e.waiting = append(e.waiting, n.world.now+patience)
		if len(e.waiting) == 1 {
			n.at(wakeInterval, func() { n.wake(customer) })
		}
	}
	n.ask(customer)
}

// admit records admitted requests whose tokens are valid until expires.
func (n *node) admit(customer, requests int, expires time.Time) {
	t := &n.world.tallies[customer]
	for range requests {
		if n.world.refuse != nil && n.world.refuse(n, expires) {
			continue
		}
		t.admitted = append(t.admitted, n.world.now)
		if n.world.admitted != nil {
			n.world.admitted(n)
		}
	}
}

// wake calls ask until no request waits.
func (n *node) wake(customer int) {
	n.ask(customer)
	if len(n.entries[customer].waiting) > 0 {
		n.at(wakeInterval, func() { n.wake(customer) })
	}
}

// ask sends the requests for tokens that are due and ends waits.
func (n *node) ask(customer int) {
	w, e, t := n.world, &n.entries[customer], &n.world.tallies[customer]
	for len(e.waiting) > 0 && w.now >= e.waiting[0] {
		e.waiting = e.waiting[1:]
		e.quota.Abandon()
		t.unavailable++
	}
	n.parts = n.parts[:0]
	for _, own := range []bool{true, false} {
		for i := range term.Parts {
			part := (i + n.id) % term.Parts
			if h, ok := w.holder(n, part); ok && (h.domain == n.domain) == own {
				n.parts = append(n.parts, part)
			}
		}
	}
	n.requests = e.quota.Requests(n.now(), n.parts, n.requests[:0])
	for _, r := range n.requests {
		h, _ := w.holder(n, r.Part)
		t.messages++
		n.request(h, customer, r)
	}
	if refused, d := e.quota.Refused(n.now()); refused > 0 {
		e.waiting = e.waiting[:0]
		if d == quota.Denied {
			t.refused += refused
		} else {
			t.unavailable += refused
		}
	}
}

// request sends a request for tokens and returns the answer.
func (n *node) request(to *node, customer int, r quota.Request) {
	w, e := n.world, &n.entries[customer]
	sent := n.now()
	n.send(to, func() {
		granted, validity, wait := w.grant(to, n, r.Part, customer, r.Wanted)
		to.send(n, func() {
			if w.distort != nil {
				validity, wait = w.distort(n.now().Sub(sent), validity, wait)
			}
			admitted, expires := e.quota.Granted(n.now(), sent, r.Part, granted, validity, wait)
			n.admit(customer, admitted, expires)
			e.waiting = e.waiting[admitted:]
			n.ask(customer)
		})
	})
}

// lost returns the number of requests that were not admitted.
func (t *tally) lost() int { return t.refused + t.unavailable }

// most returns the largest number of times in a window, whose ends belong to it.
func most(times []time.Duration, window time.Duration) int {
	count, first := 0, 0
	for i, at := range times {
		for at-times[first] > window {
			first++
		}
		count = max(count, i-first+1)
	}
	return count
}
