package membership_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/membership"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/stream"
)

// Guards against dead nodes that keep getting calls. The bound is the goal of
// about 1 s on a LAN at the defaults.
func TestDetection(t *testing.T) {
	for size, trials := range map[int]int{8: 20, 32: 20, 128: 5} {
		testDetection(t, size, trials)
	}
}

func testDetection(t *testing.T, size, trials int) {
	t.Helper()
	var total, worst time.Duration
	for seed := range uint64(trials) {
		w := newNetwork(t, seed)
		w.mesh(size)
		victim := w.nodes[1+int(seed)%(size-1)]
		victim.down = true
		crash := w.now
		w.run(3 * time.Second)
		for _, v := range w.nodes {
			if v.down {
				continue
			}
			require.Contains(t, v.dead, victim.id)
			took := v.dead[victim.id].Sub(crash)
			total += took
			worst = max(worst, took)
		}
		require.Equal(t, size-1, w.count(membership.Died), "only the victim died")
	}
	mean := total / time.Duration(trials*(size-1))
	t.Logf("detection at %d members: mean %v, slowest node of %d trials %v", size, mean, trials, worst)
	require.LessOrEqual(t, mean, time.Second)
	require.LessOrEqual(t, worst, 2*time.Second)
}

// Guards against healthy nodes taken for dead because messages get lost.
func TestLossKillsNobody(t *testing.T) {
	w := newNetwork(t, 1)
	w.mesh(32)
	w.lose = func(*node, *node) bool { return w.random.IntN(20) == 0 }
	w.run(time.Minute)
	require.Zero(t, w.count(membership.Died))
}

// Guards against a node that stays dead for the others after it was paused,
// and against its taking the others for dead.
func TestPausedNodeComesBack(t *testing.T) {
	w := newNetwork(t, 2)
	w.mesh(16)
	v := w.nodes[3]
	v.paused = true
	w.run(5 * time.Second)
	require.False(t, w.agree(16))
	v.paused = false
	w.run(20 * time.Second)
	require.True(t, w.agree(16))
	require.Zero(t, v.kinds[membership.Died])
}

// Guards against a mesh that stays split after its parts could not reach each
// other.
func TestPartitionHeals(t *testing.T) {
	w := newNetwork(t, 3)
	w.mesh(24)
	side := func(v *node) bool { return v.id.Address().Addr().As4()[3]%2 == 0 }
	w.lose = func(from, to *node) bool { return side(from) != side(to) }
	w.run(time.Minute)
	require.True(t, w.agree(12))
	w.lose = func(*node, *node) bool { return false }
	w.run(30 * time.Second)
	require.True(t, w.agree(24))
}

// Guards against new work for a node that is leaving. The bound is the goal of
// promise P6.
func TestDrainSpreadsWithinSecond(t *testing.T) {
	w := newNetwork(t, 4)
	w.mesh(64)
	v := w.nodes[5]
	w.send(v, v.Drain(w.now, nil))
	w.run(time.Second)
	require.Equal(t, 63, w.count(membership.Draining))
	m, ok := w.nodes[9].Member(v.id)
	require.True(t, ok)
	require.True(t, m.Draining)
}

// Guards against a planned stop that is taken for a failure.
func TestLeave(t *testing.T) {
	w := newNetwork(t, 5)
	w.mesh(16)
	v := w.nodes[2]
	w.send(v, v.Leave(w.now, nil))
	w.run(5 * time.Second)
	require.Equal(t, 15, w.count(membership.Departed))
	require.Zero(t, w.count(membership.Died))
	require.True(t, w.agreeWithout(v, 15))
}

func (w *network) agreeWithout(gone *node, count int) bool {
	gone.down = true
	return w.agree(count)
}

// Guards against messages to an old process at an address where a new one
// runs.
func TestReplacement(t *testing.T) {
	w := newNetwork(t, 6)
	w.mesh(16)
	old := w.nodes[7]
	old.down = true
	w.start(7, 2, membership.WithContacts(address(3)))
	w.run(15 * time.Second)
	require.True(t, w.agree(16))
	_, ok := w.nodes[1].Member(old.id)
	require.False(t, ok)
	_, ok = w.nodes[1].Member(instance.New(address(7), 2))
	require.True(t, ok)
}

// Guards against a node that nobody finds because it starts while the log is
// down and knows no contact point.
func TestStartDuringOutage(t *testing.T) {
	w := newNetwork(t, 7)
	w.mesh(16)
	v := w.nodes[2]
	w.send(v, v.Leave(w.now, nil))
	w.run(30 * time.Second)
	v.down = true
	w.start(2, 2)
	w.run(20 * time.Second)
	require.True(t, w.agree(16))
}

// Guards against joins and leaves in the log that are missed, and against a
// record with a fault that stops the reader.
func TestLog(t *testing.T) {
	w := newNetwork(t, 8)
	w.mesh(4)
	reader, joiner := w.nodes[0], w.start(9, 3)
	data, err := joiner.Record()
	require.NoError(t, err)
	reader.Log(w.now, []stream.Record{{Data: []byte("?")}, {Data: data}})
	w.run(15 * time.Second)
	require.True(t, w.agree(5))
	joiner.Leave(w.now, nil)
	data, err = joiner.Record()
	require.NoError(t, err)
	reader.Log(w.now, []stream.Record{{Data: data}})
	w.run(time.Second)
	joiner.down = true
	require.True(t, w.agree(4))
	require.Zero(t, reader.kinds[membership.Died])
}

// Guards against an old report that brings back a node that has left.
func TestLeftIsFinal(t *testing.T) {
	w := newNetwork(t, 9)
	w.mesh(3)
	a, b := w.nodes[0], w.nodes[1]
	update := func(m message.Member) {
		a.Receive(w.now, w.nodes[2].id, message.Control{MemberUpdate: &message.MemberUpdate{Members: []message.Member{m}}}, nil)
	}
	facts := &message.Metadata{Services: []string{"x"}}
	update(message.Member{ID: b.id, State: message.Left})
	update(message.Member{ID: b.id, Revision: 9, Metadata: facts})
	update(message.Member{ID: instance.New(address(1), 0), Metadata: facts})
	m, ok := a.Member(b.id)
	require.True(t, ok)
	require.Equal(t, message.Left, m.State)
	require.Len(t, a.Peers(), 1)
}

// Guards against control traffic that grows past its share of 19 KB/s a node,
// and prints the figures for CAPACITY.md.
func TestTraffic(t *testing.T) {
	sizes := []int{8, 32, 128, 512}
	if testing.Short() {
		sizes = sizes[:2]
	}
	for _, size := range sizes {
		w := newNetwork(t, 10)
		w.mesh(size)
		const period = 20 * time.Second
		w.bytes, w.sends = 0, 0
		w.run(period)
		rate := func(n int) float64 { return float64(n) / float64(size) / period.Seconds() }
		quiet, messages := rate(w.bytes), rate(w.sends)
		w.bytes = 0
		w.nodes[1].down = true
		w.run(period)
		t.Logf("%4d members: %6.0f B/s and %4.1f messages/s of CBOR sent by a node at rest, %6.0f B/s with one death in %v",
			size, quiet, messages, rate(w.bytes), period)
		require.Less(t, rate(w.bytes), 19_000.0)
		require.Zero(t, w.count(membership.Died)-(size-1))
	}
}

// Guards against a panic on damaged bytes of a peer.
func FuzzControl(f *testing.F) {
	probe := &message.Probe{Seq: 1, Target: instance.New(address(1), 1), Members: []message.Member{{ID: instance.New(address(2), 1)}}}
	for _, c := range []message.Control{
		{Probe: probe},
		{MemberDigest: &message.MemberDigest{Hashes: []uint64{1, 2}}},
		{MemberUpdate: &message.MemberUpdate{Members: probe.Members, More: true}},
		{ProbeRequest: &message.ProbeRequest{Target: instance.New(address(3), 1)}},
	} {
		data, err := message.Encode(c)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		c, err := message.Decode[message.Control](data)
		if err != nil {
			return
		}
		w := newNetwork(f, 11)
		v := w.start(0, 1)
		v.Receive(start, instance.New(address(4), 1), c, nil)
		v.Tick(start, nil)
	})
}

// Guards against a node that answers itself without end after a restart, when
// it searches for its older incarnation at its own address.
func TestOwnMessagesAreIgnored(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:900")
	now := time.Unix(1000, 0)
	m := membership.New(instance.New(address, 2), rand.New(rand.NewPCG(1, 1)))
	m.Join(now, message.Metadata{Services: []string{"proofs"}})
	probe := message.Control{Probe: &message.Probe{Seq: 1, Target: instance.New(address, 2)}}
	for incarnation := range uint64(3) {
		require.Empty(t, m.Receive(now, instance.New(address, incarnation), probe, nil))
	}
}

// Guards against two nodes that exchange digests without end because neither
// counts the other as a member.
func TestDigestOfStrangerGetsOneReply(t *testing.T) {
	now := time.Unix(1000, 0)
	m := membership.New(instance.New(netip.MustParseAddrPort("127.0.0.1:900"), 2), rand.New(rand.NewPCG(1, 1)))
	m.Join(now, message.Metadata{Services: []string{"proofs"}})
	stranger := instance.New(netip.MustParseAddrPort("127.0.0.1:901"), 1)
	digest := message.Control{MemberDigest: &message.MemberDigest{Hashes: []uint64{1}}}
	for _, s := range m.Receive(now, stranger, digest, nil) {
		if d := s.Control.MemberDigest; d != nil {
			require.True(t, d.Reply)
		}
	}
}
