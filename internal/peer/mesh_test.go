package peer_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/peer"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/memory"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/payload"
)

// handler records connection events and the ids of cancel frames, and answers
// pings.
type handler struct {
	pending atomic.Bool

	mu          sync.Mutex
	up, down    []*peer.Link
	canceled    []uint64
	unreachable int
}

func (h *handler) LinkUp(l *peer.Link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.up = append(h.up, l)
}

func (h *handler) LinkDown(l *peer.Link, _ error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = append(h.down, l)
}

func (h *handler) HandleFrame(l *peer.Link, f frame.Frame) {
	switch f.Kind {
	case frame.KindPing:
		peer.Send(l, frame.KindPong, frame.Ping{}, nil)
	case frame.KindCancel:
		c, err := message.Decode[frame.Cancel](f.Message)
		if err != nil {
			return
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.canceled = append(h.canceled, c.ID)
	}
}

func (h *handler) PeerUnreachable(string, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unreachable++
}

func (h *handler) ResponsePending(*peer.Link) bool { return h.pending.Load() }

func (h *handler) counts() (up, down, canceled, unreachable int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.up), len(h.down), len(h.canceled), h.unreachable
}

const (
	timeout      = 10 * time.Second
	pollInterval = 5 * time.Millisecond
)

func listen(t *testing.T, address string) net.Listener {
	ln, err := net.Listen("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return ln
}

// Guards against a write, and a process that wakes at the other end, for each of the
// frames that belong together, and against a broadcast that leaves out a link.
func TestJoinedFramesAndBroadcast(t *testing.T) {
	const nodes, joined = 3, 4
	m := peer.NewMesh(&handler{})
	defer m.Close()
	var others [nodes]handler
	var links []*peer.Link
	for i := range others {
		ln := listen(t, "127.0.0.1:0")
		go peer.NewMesh(&others[i]).Accept(ln) //nolint:errcheck // returns when the listener is closed
		m.Connect(t.Context(), ln.Addr().String())
		require.Eventually(t, func() bool { return m.Link(ln.Addr().String()) != nil }, timeout, pollInterval)
		links = append(links, m.Link(ln.Addr().String()))
	}
	links[0].Join(func() {
		for i := range joined {
			require.True(t, peer.Send(links[0], frame.KindCancel, frame.Cancel{ID: uint64(i)}, nil))
		}
	})
	require.Equal(t, uint64(1), m.Traffic().Writes())
	peer.Broadcast(links, frame.KindCancel, frame.Cancel{ID: joined})
	require.Equal(t, uint64(1+nodes), m.Traffic().Writes())
	require.Equal(t, uint64(joined+nodes), m.Traffic().Frames(frame.KindCancel))
	for i := range others {
		require.Eventually(t, func() bool {
			others[i].mu.Lock()
			defer others[i].mu.Unlock()
			n := len(others[i].canceled)
			return n > 0 && others[i].canceled[n-1] == joined
		}, timeout, pollInterval)
	}
	require.Equal(t, []uint64{0, 1, 2, 3, joined}, others[0].canceled)
}

// Guards against frames that are lost, corrupted or duplicated when several
// goroutines send on one link.
func TestFramesOfConcurrentSenders(t *testing.T) {
	const senders, framesEach = 8, 200
	a, b := &handler{}, &handler{}
	ln := listen(t, "127.0.0.1:0")
	server := peer.NewMesh(b)
	go server.Accept(ln) //nolint:errcheck // returns when the listener is closed
	m := peer.NewMesh(a)
	defer m.Close()
	m.Connect(t.Context(), ln.Addr().String())
	require.Eventually(t, func() bool { return m.Link(ln.Addr().String()) != nil }, timeout, pollInterval)
	l := m.Link(ln.Addr().String())
	var wg sync.WaitGroup
	for s := range senders {
		wg.Go(func() {
			for i := range framesEach {
				require.True(t, peer.Send(l, frame.KindCancel, frame.Cancel{ID: uint64(s*framesEach + i)}, nil))
			}
		})
	}
	wg.Wait()
	require.Eventually(t, func() bool { _, _, n, _ := b.counts(); return n == senders*framesEach }, timeout, pollInterval)
	seen := make(map[uint64]bool)
	for _, id := range b.canceled {
		require.False(t, seen[id])
		seen[id] = true
	}
}

// Guards against a link that is not re-established after its node restarts, and
// against Send reporting success on a closed link.
func TestLinkReconnects(t *testing.T) {
	a, b := &handler{}, &handler{}
	ln := listen(t, "127.0.0.1:0")
	address := ln.Addr().String()
	server := peer.NewMesh(b)
	go server.Accept(ln) //nolint:errcheck // returns when the listener is closed
	m := peer.NewMesh(a)
	defer m.Close()
	m.Connect(t.Context(), address)
	require.Eventually(t, func() bool { return m.Link(address) != nil }, timeout, pollInterval)
	old := m.Link(address)
	ln.Close()
	server.Close()
	require.Eventually(t, func() bool { _, down, _, unreachable := a.counts(); return down == 1 && unreachable > 0 }, timeout, pollInterval)
	require.False(t, peer.Send(old, frame.KindCancel, frame.Cancel{ID: 1}, nil))
	go peer.NewMesh(&handler{}).Accept(listen(t, address)) //nolint:errcheck // returns when the listener is closed
	require.Eventually(t, func() bool { return m.Link(address) != nil }, timeout, pollInterval)
}

// Guards against requests that wait for an unresponsive node, and against
// closing an idle link on which no response is pending.
func TestUnresponsiveLinkIsClosed(t *testing.T) {
	ln := listen(t, "127.0.0.1:0")
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer c.Close() // never reads
		}
	}()
	h := &handler{}
	m := peer.NewMesh(h)
	defer m.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go m.MonitorLinks(ctx)
	m.Connect(ctx, ln.Addr().String())
	require.Eventually(t, func() bool { return m.Link(ln.Addr().String()) != nil }, timeout, pollInterval)
	time.Sleep(1500 * time.Millisecond)
	_, down, _, _ := h.counts()
	require.Zero(t, down, "no response is pending")
	h.pending.Store(true)
	require.Eventually(t, func() bool { _, down, _, _ := h.counts(); return down > 0 }, timeout, pollInterval)
}

// closingListener accepts connections and closes each after the given lifetime.
// It returns its address and the number of connections accepted.
func closingListener(t *testing.T, lifetime time.Duration) (string, *atomic.Int64) {
	ln := listen(t, "127.0.0.1:0")
	var accepted atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			time.AfterFunc(lifetime, func() { c.Close() })
		}
	}()
	return ln.Addr().String(), &accepted
}

// Guards against pings that cost more than the requests: one for each quarter of a
// second on each link on which a response is pending.
func TestFewPingsWhileResponsesArePending(t *testing.T) {
	const (
		observed = 3 * time.Second
		// maxPings is one each 750 ms: a reader that answers at once is asked again when
		// two checks have passed without anything.
		maxPings = 4
	)
	h := &handler{}
	ln := listen(t, "127.0.0.1:0")
	server := peer.NewMesh(&handler{})
	go server.Accept(ln) //nolint:errcheck // returns when the listener is closed
	m := peer.NewMesh(h)
	defer m.Close()
	go m.MonitorLinks(t.Context())
	m.Connect(t.Context(), ln.Addr().String())
	require.Eventually(t, func() bool { return m.Link(ln.Addr().String()) != nil }, timeout, pollInterval)
	h.pending.Store(true)
	time.Sleep(observed)
	pings := m.Traffic().Frames(frame.KindPing)
	require.Positive(t, pings)
	require.LessOrEqual(t, pings, uint64(maxPings))
	_, down, _, _ := h.counts()
	require.Zero(t, down)
}

// Guards against dialing without a delay a node that accepts connections and
// closes them at once, for example because its descriptors are used up.
func TestBackoffWhenLinksCloseAtOnce(t *testing.T) {
	const observed = 2 * time.Second
	h := &handler{}
	address, accepted := closingListener(t, 0)
	m := peer.NewMesh(h)
	defer m.Close()
	m.Connect(t.Context(), address)
	time.Sleep(observed)
	// The shortest delays are 50, 100, 200, 400, 800 and 1000 ms.
	require.LessOrEqual(t, accepted.Load(), int64(6))
	_, _, _, unreachable := h.counts()
	require.Positive(t, unreachable)
}

// Guards against a node that reconnects late after a link of normal lifetime.
func TestReconnectAfterEstablishedLink(t *testing.T) {
	h := &handler{}
	address, accepted := closingListener(t, 1100*time.Millisecond)
	m := peer.NewMesh(h)
	defer m.Close()
	m.Connect(t.Context(), address)
	require.Eventually(t, func() bool { return accepted.Load() == 2 }, timeout, pollInterval)
	_, _, _, unreachable := h.counts()
	require.Zero(t, unreachable)
}

// slowLink relays the connections to a listener at slowRate in each direction, until it
// is stopped.
type slowLink struct {
	net.Listener
	stopped atomic.Bool
}

const (
	// slowRate is that of a link of 16 Mbit/s, in bytes a second. The buffers of the
	// kernel take several seconds of it.
	slowRate = 2 << 20
	// relayPeriod is the interval between two pieces of a slow link.
	relayPeriod = 10 * time.Millisecond
)

// newSlowLink returns a relay to target.
func newSlowLink(t *testing.T, target string) *slowLink {
	s := &slowLink{Listener: listen(t, "127.0.0.1:0")}
	go func() {
		for {
			from, err := s.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp4", target)
			if err != nil {
				from.Close()
				return
			}
			go s.relay(from, to)
			go s.relay(to, from)
		}
	}()
	return s
}

// relay copies until from ends, and closes both connections then.
func (s *slowLink) relay(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	// Time that a busy machine takes from the relay is made up for, so that the rate is
	// that of the link.
	start, relayed := time.Now(), 0.0
	for buffer := make([]byte, 64<<10); ; time.Sleep(relayPeriod) {
		for !s.stopped.Load() && relayed < slowRate*time.Since(start).Seconds() {
			n, err := from.Read(buffer)
			if err != nil {
				return
			}
			if _, err = to.Write(buffer[:n]); err != nil {
				return
			}
			relayed += float64(n)
		}
	}
}

// newSlowMeshes returns a mesh with a link through a relay to a node whose handler is
// returned too, and the handler of the mesh. A response is pending and the link is
// monitored.
func newSlowMeshes(t *testing.T) (l *peer.Link, relay *slowLink, local, remote *handler) {
	local, remote = &handler{}, &handler{}
	local.pending.Store(true)
	ln := listen(t, "127.0.0.1:0")
	server := peer.NewMesh(remote)
	t.Cleanup(server.Close)
	go server.Accept(ln) //nolint:errcheck // returns when the listener is closed
	relay = newSlowLink(t, ln.Addr().String())
	address := relay.Addr().String()
	m := peer.NewMesh(local)
	t.Cleanup(m.Close)
	m.Connect(t.Context(), address)
	require.Eventually(t, func() bool { return m.Link(address) != nil }, timeout, pollInterval)
	go m.MonitorLinks(t.Context())
	return m.Link(address), relay, local, remote
}

// newBody returns a body of zeros.
func newBody(t *testing.T, size int) *payload.Body {
	body, err := payload.Read(bytes.NewReader(make([]byte, size)), size, nil)
	require.NoError(t, err)
	return body
}

const (
	largeBody = 12 << 20
	// timeOfLargeBody is six times as long as a link may be silent.
	timeOfLargeBody = largeBody / slowRate * time.Second
)

// Guards against LOST and against a link that is closed as silent, with all offers on
// it, while the other node reads a large body: what the kernel holds when the last
// piece is written may take seconds to cross a slow link.
func TestLargeBodyOnSlowLink(t *testing.T) {
	l, _, local, remote := newSlowMeshes(t)
	require.True(t, peer.Send(l, frame.KindOffer, &frame.Offer{ID: 1}, newBody(t, largeBody)))
	require.True(t, peer.Send(l, frame.KindCancel, frame.Cancel{ID: 1}, nil))
	require.Eventually(t, func() bool {
		_, down, _, _ := local.counts()
		_, _, canceled, _ := remote.counts()
		return down > 0 || canceled > 0
	}, 2*timeOfLargeBody, pollInterval)
	_, down, _, _ := local.counts()
	_, _, canceled, _ := remote.counts()
	require.Zero(t, down)
	require.Equal(t, 1, canceled)
}

// Guards against a link that is closed as silent while the other node reads many small
// frames to which it has no answer yet.
func TestManyFramesOnSlowLink(t *testing.T) {
	const frames = 8 << 10
	l, _, local, remote := newSlowMeshes(t)
	go func() {
		offer := &frame.Offer{Head: make([]byte, 1<<10)}
		for range frames {
			peer.Send(l, frame.KindOffer, offer, nil)
		}
		peer.Send(l, frame.KindCancel, frame.Cancel{ID: 1}, nil)
	}()
	require.Eventually(t, func() bool {
		_, down, _, _ := local.counts()
		_, _, canceled, _ := remote.counts()
		return down > 0 || canceled > 0
	}, timeout, pollInterval)
	_, down, _, _ := local.counts()
	require.Zero(t, down)
}

// Guards against reports that cost more than what they report: frames that arrive at
// once are not reported.
func TestSmallFramesAreNotReported(t *testing.T) {
	const frames = 50
	b := &handler{}
	ln := listen(t, "127.0.0.1:0")
	server := peer.NewMesh(b)
	go server.Accept(ln) //nolint:errcheck // returns when the listener is closed
	m := peer.NewMesh(&handler{})
	defer m.Close()
	m.Connect(t.Context(), ln.Addr().String())
	require.Eventually(t, func() bool { return m.Link(ln.Addr().String()) != nil }, timeout, pollInterval)
	l := m.Link(ln.Addr().String())
	for id := range uint64(frames) {
		require.True(t, peer.Send(l, frame.KindOffer, &frame.Offer{ID: id, Head: make([]byte, 1<<10)}, nil))
		require.True(t, peer.Send(l, frame.KindCancel, frame.Cancel{ID: id}, nil))
		time.Sleep(2 * pollInterval)
	}
	require.Eventually(t, func() bool { _, _, n, _ := b.counts(); return n == frames }, timeout, pollInterval)
	require.Zero(t, server.Traffic().Sent(frame.KindProgress))
}

// Guards against offers that wait for a node that falls silent while it reads a large
// body: it is found as soon as any other.
func TestLinkThatFallsSilentInLargeBody(t *testing.T) {
	l, relay, local, _ := newSlowMeshes(t)
	sent := make(chan bool, 1)
	go func() { sent <- peer.Send(l, frame.KindOffer, &frame.Offer{ID: 1}, newBody(t, largeBody)) }()
	time.Sleep(timeOfLargeBody / 3)
	_, down, _, _ := local.counts()
	require.Zero(t, down)
	relay.stopped.Store(true)
	stopped := time.Now()
	require.Eventually(t, func() bool { _, down, _, _ := local.counts(); return down > 0 }, timeout, pollInterval)
	// A second of silence, and as long for what is on its way and for a busy machine.
	require.Less(t, time.Since(stopped), 2*time.Second)
	require.True(t, <-sent)
}

// Guards against a link that is closed, with all offers on it, while a large body is
// being written to a node that does not report what it reads. What the kernel holds
// when the last piece is written is not covered.
func TestLargeBodyIsWrittenSlowly(t *testing.T) {
	const (
		size   = 24 << 20
		piece  = 256 << 10
		period = 30 * time.Millisecond // 8 MB a second
		// buffer keeps the kernel from taking the whole body at once.
		buffer = 256 << 10
	)
	h := &handler{}
	h.pending.Store(true)
	m := peer.NewMesh(h)
	defer m.Close()
	ln := listen(t, "127.0.0.1:0")
	m.Connect(t.Context(), ln.Addr().String())
	conn, err := ln.Accept()
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(buffer))
	go m.MonitorLinks(t.Context())
	require.Eventually(t, func() bool { return m.Link(ln.Addr().String()) != nil }, timeout, pollInterval)
	written := make(chan bool, 1)
	body := newBody(t, size)
	go func() {
		l := m.Link(ln.Addr().String())
		peer.Send(l, frame.KindOffer, &frame.Offer{ID: 1}, body)
		written <- peer.Send(l, frame.KindCancel, frame.Cancel{ID: 1}, nil) // false if the link is closed
	}()
	for data := make([]byte, piece); ; time.Sleep(period) {
		select {
		case isOpen := <-written:
			require.True(t, isOpen)
			_, down, _, _ := h.counts()
			require.Zero(t, down)
			return
		default:
		}
		_, err := io.ReadFull(conn, data)
		require.NoError(t, err)
	}
}

// Guards against GONE: a withdrawal that is dropped because there is no memory for the
// frames that wait for a stalled link, so that the other node goes on with a request
// whose client has left.
func TestWithdrawalIsSentWithoutMemory(t *testing.T) {
	b := &handler{}
	ln := listen(t, "127.0.0.1:0")
	budget := memory.New(200 << 10)
	m := peer.NewMesh(&handler{}, peer.WithBudget(budget))
	defer m.Close()
	m.Connect(t.Context(), ln.Addr().String())
	stalled, err := ln.Accept()
	require.NoError(t, err)
	require.Eventually(t, func() bool { return m.Link(ln.Addr().String()) != nil }, timeout, pollInterval)
	l := m.Link(ln.Addr().String())
	const readBuffer = 4 << 10
	offer := &frame.Offer{Head: make([]byte, 64)}
	// The sockets cannot hold this body, so the link writes it until it is read.
	go peer.Send(l, frame.KindOffer, offer, payload.NewBody(make([]byte, 64<<20), nil))
	r := bufio.NewReader(stalled)
	_, err = r.Peek(readBuffer) // more than a ping
	require.NoError(t, err)
	var offers uint64
	for peer.Send(l, frame.KindOffer, offer, nil) {
		offers++
	}
	require.NotZero(t, offers)
	for id := range offers {
		require.True(t, peer.Send(l, frame.KindCancel, frame.Cancel{ID: id}, nil))
	}
	read := make(chan uint64, 1)
	go func() {
		var count uint64
		for count < offers {
			f, err := frame.Read(r, nil)
			if err != nil {
				break
			}
			b.HandleFrame(nil, f)
			if f.Kind == frame.KindCancel {
				count++
			}
		}
		read <- count
	}()
	require.Equal(t, offers, <-read)
	_, _, canceled, _ := b.counts()
	require.EqualValues(t, offers, canceled)
}

// Guards against LOST: answers that wait behind a large one when a node exits are lost
// with the link.
func TestShutdownWritesWhatIsQueued(t *testing.T) {
	const frames, size = 20, 64 << 20
	received := &handler{}
	ln := listen(t, "127.0.0.1:0")
	server := peer.NewMesh(received)
	defer server.Close()
	go server.Accept(ln) //nolint:errcheck // returns when the listener is closed
	m := peer.NewMesh(&handler{})
	m.Connect(t.Context(), ln.Addr().String())
	require.Eventually(t, func() bool { return m.Link(ln.Addr().String()) != nil }, timeout, pollInterval)
	l := m.Link(ln.Addr().String())
	body := payload.NewBody(bytes.Repeat([]byte("x"), size), nil)
	go peer.Send(l, frame.KindConfiguration, frame.Configuration{}, body)
	time.Sleep(5 * time.Millisecond)
	for i := range uint64(frames) {
		require.True(t, peer.Send(l, frame.KindCancel, frame.Cancel{ID: i}, nil))
	}
	start := time.Now()
	m.Shutdown(start.Add(timeout), time.Second)
	m.Close()
	require.Less(t, time.Since(start), timeout)
	_, _, count, _ := received.counts()
	require.Equal(t, frames, count)
}

// linkKeeper passes on the link on which the first frame has arrived.
type linkKeeper struct {
	handler
	links chan *peer.Link
}

func (k *linkKeeper) HandleFrame(l *peer.Link, f frame.Frame) {
	select {
	case k.links <- l:
	default:
	}
	k.handler.HandleFrame(l, f)
}

// Guards against LOST: a node that exits answers a ping behind its last frames. The
// write fails, and resets the link before the other node has read them.
func TestPingsDuringShutdownLoseNothing(t *testing.T) {
	const size, linger = 300 << 10, 500 * time.Millisecond
	k := &linkKeeper{links: make(chan *peer.Link, 1)}
	ln := listen(t, "127.0.0.1:0")
	m := peer.NewMesh(k)
	go m.Accept(ln) //nolint:errcheck // returns when the listener is closed
	c, err := net.Dial("tcp4", ln.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
	ping, err := frame.Append(nil, frame.KindPing, frame.Ping{}, nil)
	require.NoError(t, err)
	_, err = c.Write(ping)
	require.NoError(t, err)
	l := <-k.links
	require.True(t, peer.Send(l, frame.KindConfiguration, frame.Configuration{}, payload.NewBody(make([]byte, size), nil)))
	go m.Shutdown(time.Now(), linger)
	for range 4 {
		time.Sleep(20 * time.Millisecond)
		_, err = c.Write(ping)
		require.NoError(t, err)
	}
	data, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Greater(t, len(data), size)
}
