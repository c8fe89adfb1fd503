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

// Guards against a link that is closed, with all offers on it, because a large body
// takes longer to write than the time in which an unresponsive node is detected.
func TestLargeBodyOnSlowLink(t *testing.T) {
	const (
		size   = 24 << 20
		piece  = 256 << 10
		period = 30 * time.Millisecond // 8 MB a second
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
	go m.MonitorLinks(t.Context())
	require.Eventually(t, func() bool { return m.Link(ln.Addr().String()) != nil }, timeout, pollInterval)
	sent := make(chan bool, 1)
	go func() {
		body, err := payload.Read(bytes.NewReader(make([]byte, size)), size, nil)
		sent <- err == nil && peer.Send(m.Link(ln.Addr().String()), frame.KindOffer, &frame.Offer{ID: 1}, body)
	}()
	received := 0
	for buffer := make([]byte, piece); received < size; time.Sleep(period) {
		n, err := io.ReadFull(conn, buffer)
		received += n
		require.NoError(t, err, "after %d bytes", received)
	}
	require.True(t, <-sent)
	_, down, _, _ := h.counts()
	require.Zero(t, down)
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
	offer := &frame.Offer{Head: make([]byte, 64)}
	// The first sender to fill the buffers of the sockets writes until the link is read.
	sent := make(chan uint64)
	for range 2 {
		go func() {
			for id := uint64(1); ; id++ {
				if !peer.Send(l, frame.KindOffer, offer, nil) {
					sent <- id
					return
				}
			}
		}()
	}
	offers := <-sent
	for id := range offers {
		require.True(t, peer.Send(l, frame.KindCancel, frame.Cancel{ID: id}, nil))
	}
	read := make(chan uint64, 1)
	go func() {
		var count uint64
		for r := bufio.NewReader(stalled); count < offers; {
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
