package quarantine_test

import (
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/quarantine"
)

// culprit crashes each server that runs it; the frequent requests run beside it, and also
// complete.
var (
	culprit  = quarantine.Request{Content: 100}
	frequent = []quarantine.Request{{Content: 101}, {Content: 102, Customer: "brest"}, {Content: 102, Customer: "quimper"}}
)

// crashSet holds the crashes of a request, and whether each has been cleared.
type crashSet map[uint64]bool

// open returns the number of crashes that have not been cleared.
func (c crashSet) open() int {
	n := 0
	for _, isCleared := range c {
		if !isCleared {
			n++
		}
	}
	return n
}

// meshNode is a node and what it has to know.
type meshNode struct {
	quarantine *quarantine.Quarantine
	known      map[quarantine.Request]crashSet
	completed  map[quarantine.Request]bool // since the latest crash there
}

func newMeshNode() *meshNode {
	return &meshNode{
		quarantine: quarantine.New(quarantine.WithoutIsolation()),
		known:      make(map[quarantine.Request]crashSet), completed: make(map[quarantine.Request]bool),
	}
}

func (n *meshNode) crashes(r quarantine.Request) crashSet {
	if n.known[r] == nil {
		n.known[r] = make(crashSet)
	}
	return n.known[r]
}

// parcel is a message on its way, with what it has to tell.
type parcel struct {
	to        int
	suspicion message.Suspicion
	known     crashSet
}

// mesh plays crashes and completions at several nodes. Messages between them are lost,
// late, repeated and reordered; nodes restart, and join again with what another one knows.
type mesh struct {
	random   *rand.Rand
	now      time.Time
	nodes    []*meshNode
	parcels  []parcel
	count    uint64                                     // of crashes
	identify func(n *meshNode, crash uint64) uint64     // returns the ID under which a node records a crash
	mismatch func(r quarantine.Request, known crashSet) // is called when a node decides otherwise than it has to
}

func newMesh(seed uint64, nodes int) *mesh {
	m := &mesh{random: rand.New(rand.NewPCG(seed, 3)), now: start}
	m.identify = func(_ *meshNode, crash uint64) uint64 { return crash }
	for range nodes {
		m.nodes = append(m.nodes, newMeshNode())
	}
	return m
}

// play plays a number of steps, and then lets each node hear of what the others know.
func (m *mesh) play(steps int) {
	for range steps {
		m.now = m.now.Add(time.Duration(m.random.IntN(100)) * time.Millisecond)
		m.step()
		for _, n := range m.nodes {
			m.check(n)
		}
	}
	for range len(m.nodes) {
		for i := range m.nodes {
			for j := range m.nodes {
				m.tell(i, j, m.nodes[i].quarantine.Snapshot(m.now, nil))
			}
		}
		for len(m.parcels) > 0 {
			m.deliver(0)
		}
	}
	for _, n := range m.nodes {
		m.check(n)
	}
}

func (m *mesh) step() {
	i := m.random.IntN(len(m.nodes))
	n := m.nodes[i]
	switch m.random.IntN(40) {
	case 0, 1:
		m.crash(n)
		if m.random.IntN(3) == 0 { // two crashes at once
			m.crash(m.nodes[m.random.IntN(len(m.nodes))])
		}
	case 2, 3, 4:
		r := frequent[m.random.IntN(len(frequent))]
		n.quarantine.Complete(m.now, r)
		n.completed[r] = true
		for id := range n.known[r] {
			n.known[r][id] = true
		}
	case 5:
		m.nodes[i] = newMeshNode()
		if from := m.random.IntN(len(m.nodes)); from != i {
			m.tell(from, i, m.nodes[from].quarantine.Snapshot(m.now, nil))
		}
	}
	for i, n := range m.nodes {
		changes := n.quarantine.DrainChanges(m.now, nil)
		for j := range m.nodes {
			m.tell(i, j, changes)
		}
	}
	for len(m.parcels) > 0 && m.random.IntN(3) > 0 {
		m.deliver(m.random.IntN(len(m.parcels)))
	}
}

// crash crashes the server beside a node, with the culprit and some others in flight.
func (m *mesh) crash(n *meshNode) {
	m.count++
	id := m.identify(n, m.count)
	inFlight := []quarantine.Request{culprit}
	for _, r := range frequent {
		if m.random.IntN(2) == 0 {
			inFlight = append(inFlight, r)
		}
	}
	n.quarantine.RecordCrash(m.now, id, inFlight)
	for _, r := range inFlight {
		n.crashes(r)[m.count] = n.completed[r] && len(inFlight) > 1
		n.completed[r] = false
	}
}

// tell sends suspicions from one node to another.
func (m *mesh) tell(from, to int, all []message.Suspicion) {
	if from == to {
		return
	}
	for _, s := range all {
		r := quarantine.Request{Customer: s.Customer, Content: s.Content}
		m.parcels = append(m.parcels, parcel{to: to, suspicion: s, known: maps.Clone(m.nodes[from].known[r])})
	}
}

// deliver delivers a message, loses it or delivers it and keeps it for later.
func (m *mesh) deliver(i int) {
	p := m.parcels[i]
	fate := m.random.IntN(10)
	if fate != 0 || len(m.parcels) > 1000 {
		m.parcels = append(m.parcels[:i], m.parcels[i+1:]...)
	}
	if fate == 1 {
		return
	}
	n := m.nodes[p.to]
	n.quarantine.Merge(m.now, p.suspicion)
	known := n.crashes(quarantine.Request{Customer: p.suspicion.Customer, Content: p.suspicion.Content})
	for id, isCleared := range p.known {
		known[id] = known[id] || isCleared
	}
}

// check compares the decisions of a node with what it knows.
func (m *mesh) check(n *meshNode) {
	for _, r := range append([]quarantine.Request{culprit}, frequent...) {
		mustRefuse := n.known[r].open() >= 3
		if refuses := n.quarantine.Check(m.now, r) == quarantine.Refuse; refuses != mustRefuse {
			m.mismatch(r, n.known[r])
		}
	}
}

// Guards against crashes that nodes count at the same time and that make one, against
// completions that clear crashes which their node does not know, or none, and against
// records that depend on the order of messages, on lost or on repeated ones.
func TestCountsAddUpInAnySchedule(t *testing.T) {
	seeds := 300
	if testing.Short() {
		seeds = 60
	}
	refusals := 0
	for seed := range uint64(seeds) {
		m := newMesh(seed, 2+int(seed%6))
		m.mismatch = func(r quarantine.Request, known crashSet) {
			require.Fail(t, "wrong decision", "seed %d, request %v, crashes %v", seed, r, known)
		}
		m.play(200)
		if m.nodes[0].quarantine.Check(m.now, culprit) == quarantine.Refuse {
			refusals++
		}
	}
	t.Logf("culprit refused in %d of %d", refusals, seeds)
	require.Greater(t, refusals, seeds/2)
}

// Guards against schedules that would not find counts which do not add up: each node
// numbers the crashes that it knows.
func TestSchedulesFindPlantedFault(t *testing.T) {
	const seeds = 40
	found := 0
	for seed := range uint64(seeds) {
		m, wrong := newMesh(seed, 2+int(seed%6)), false
		m.identify = func(n *meshNode, _ uint64) uint64 { return uint64(len(n.known[culprit]) + 1) }
		m.mismatch = func(quarantine.Request, crashSet) { wrong = true }
		m.play(200)
		if wrong {
			found++
		}
	}
	t.Logf("found in %d of %d", found, seeds)
	require.Greater(t, found, seeds/2)
}

// Guards against crashes at three nodes at the same time that make one, because each node
// tells the others "one".
func TestConcurrentCrashesAddUp(t *testing.T) {
	q := quarantine.New(quarantine.WithoutIsolation())
	for id := range uint64(3) {
		n := quarantine.New(quarantine.WithoutIsolation())
		n.RecordCrash(start, id, []quarantine.Request{poison})
		for _, s := range n.DrainChanges(start, nil) {
			q.Merge(start, s)
		}
	}
	require.Equal(t, quarantine.Refuse, q.Check(start, poison))
}

// Guards against a node that goes on running a culprit because the messages to it were
// lost, or because it has no link to the nodes whose servers crashed.
func TestLostSuspicionsAreRepeated(t *testing.T) {
	const nodes, rounds, seeds = 13, 30, 200
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 4))
		all := make([]*quarantine.Quarantine, nodes)
		for i := range all {
			all[i] = quarantine.New(quarantine.WithoutIsolation())
		}
		for id := range 3 {
			all[id].RecordCrash(start, uint64(id), []quarantine.Request{poison})
			for _, s := range all[id].DrainChanges(start, nil) {
				all[nodes/2].Merge(start, s) // the only one that hears of them at once
			}
		}
		for range rounds {
			for i, q := range all {
				partner := random.IntN(nodes)
				if linked := i > 2 || partner > 2; !linked || partner == i {
					continue
				}
				for _, s := range q.Repeat(start, nil) {
					all[partner].Merge(start, s)
				}
			}
		}
		for i, q := range all {
			require.Equal(t, quarantine.Refuse, q.Check(start, poison), "seed %d, node %d", seed, i)
		}
		for range 100 * rounds {
			for _, q := range all {
				q.Repeat(start, nil)
			}
		}
		for _, q := range all {
			require.Empty(t, q.Repeat(start, nil), "repeats end")
		}
	}
}
