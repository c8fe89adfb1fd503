package membership_test

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/membership"
	"github.com/papayapath/papayapath/pkg/message"
)

const (
	step    = 10 * time.Millisecond
	latency = time.Millisecond
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// network connects memberships under virtual time.
type network struct {
	t      testing.TB
	now    time.Time
	random *rand.Rand
	nodes  []*node
	at     map[netip.AddrPort]*node
	queue  queue
	lose   func(from, to *node) bool
	bytes  int
	sends  int
}

type node struct {
	*membership.Membership
	id     instance.ID
	ticks  time.Time // when the node starts to tick
	down   bool
	paused bool
	dead   map[instance.ID]time.Time
	kinds  map[membership.Kind]int
}

func newNetwork(t testing.TB, seed uint64) *network {
	return &network{
		t: t, now: start, random: rand.New(rand.NewPCG(seed, 1)), at: make(map[netip.AddrPort]*node),
		lose: func(*node, *node) bool { return false },
	}
}

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7000)
}

// start adds a node, which joins at a random moment within a probe interval.
func (w *network) start(n int, incarnation uint64, options ...membership.Option) *node {
	id := instance.New(address(n), incarnation)
	random := rand.New(rand.NewPCG(w.random.Uint64(), 2))
	v := &node{
		Membership: membership.New(id, random, options...), id: id,
		ticks: w.now.Add(time.Duration(w.random.Int64N(int64(200 * time.Millisecond)))),
		dead:  make(map[instance.ID]time.Time), kinds: make(map[membership.Kind]int),
	}
	v.Join(w.now, message.Metadata{Services: []string{"catalogue"}, Region: "bretagne", Domain: "rennes"})
	w.nodes = append(w.nodes, v)
	w.at[id.Address()] = v
	return v
}

// mesh starts count nodes that know one contact point, and lets them settle.
func (w *network) mesh(count int) {
	for n := range count {
		w.start(n, 1, membership.WithContacts(address(0)))
	}
	for range 60 {
		w.run(time.Second)
		if w.agree(count) {
			w.run(10 * time.Second)
			return
		}
	}
	require.Fail(w.t, "nodes don't find each other")
}

// agree reports whether each running node knows count-1 others.
func (w *network) agree(count int) bool {
	for _, v := range w.nodes {
		if !v.down && len(v.Peers()) != count-1 {
			return false
		}
	}
	return true
}

// run lets time pass.
func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		w.deliver()
		for _, v := range w.nodes {
			if !v.down && !v.paused && !w.now.Before(v.ticks) {
				w.send(v, v.Tick(w.now, nil))
				w.note(v)
			}
		}
	}
}

func (w *network) deliver() {
	now := w.now
	for len(w.queue) > 0 && !w.queue[0].at.After(now) {
		p := heap.Pop(&w.queue).(packet)
		if p.to.down || p.to.paused {
			continue
		}
		control, err := message.Decode[message.Control](p.data)
		require.NoError(w.t, err)
		w.now = p.at
		w.send(p.to, p.to.Receive(p.at, p.from.id, control, nil))
		w.note(p.to)
	}
	w.now = now
}

func (w *network) send(from *node, sends []membership.Send) {
	for _, s := range sends {
		data, err := message.Encode(s.Control)
		require.NoError(w.t, err)
		w.bytes += len(data)
		w.sends++
		to := w.at[s.To.Address()]
		if to == nil || w.lose(from, to) || (s.To.Incarnation() != 0 && s.To != to.id) {
			continue
		}
		heap.Push(&w.queue, packet{at: w.now.Add(latency), seq: w.sends, from: from, to: to, data: data})
	}
}

func (w *network) note(v *node) {
	for _, c := range v.Changes() {
		v.kinds[c.Kind]++
		if _, ok := v.dead[c.ID]; !ok && c.Kind == membership.Died {
			v.dead[c.ID] = w.now
		}
	}
}

// count returns how often the nodes saw a kind of change.
func (w *network) count(kind membership.Kind) int {
	n := 0
	for _, v := range w.nodes {
		n += v.kinds[kind]
	}
	return n
}

type packet struct {
	at       time.Time
	seq      int
	from, to *node
	data     []byte
}

type queue []packet

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(packet)) }

func (q *queue) Pop() any {
	last := len(*q) - 1
	p := (*q)[last]
	*q = (*q)[:last]
	return p
}
