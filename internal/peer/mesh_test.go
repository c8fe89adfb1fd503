package peer_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/peer"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/message"
)

// handler records what arrives and answers each cancel with a ping.
type handler struct {
	waits atomic.Bool

	mu          sync.Mutex
	up, down    []*peer.Link
	frames      []uint64
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

func (h *handler) HandleFrame(l *peer.Link, kind frame.Kind, head, _ []byte) {
	switch kind {
	case frame.KindPing:
		peer.Send(l, frame.KindPong, frame.Ping{}, nil)
	case frame.KindCancel:
		c, err := message.Decode[frame.Cancel](head)
		if err != nil {
			return
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.frames = append(h.frames, c.ID)
	}
}

func (h *handler) PeerUnreachable(string, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unreachable++
}

func (h *handler) ResponsePending(*peer.Link) bool { return h.waits.Load() }

func (h *handler) counts() (up, down, frames, unreachable int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.up), len(h.down), len(h.frames), h.unreachable
}

const (
	within = 10 * time.Second
	step   = 5 * time.Millisecond
)

func listen(t *testing.T, address string) net.Listener {
	ln, err := net.Listen("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return ln
}

// Guards against frames of concurrent senders that are lost, mixed or repeated.
func TestFramesOfConcurrentSenders(t *testing.T) {
	const senders, each = 8, 200
	a, b := &handler{}, &handler{}
	ln := listen(t, "127.0.0.1:0")
	server := peer.NewMesh(b)
	go server.Accept(ln) //nolint:errcheck // ends with the listener
	m := peer.NewMesh(a)
	defer m.Close()
	m.Connect(t.Context(), ln.Addr().String())
	require.Eventually(t, func() bool { return m.Link(ln.Addr().String()) != nil }, within, step)
	l := m.Link(ln.Addr().String())
	var wg sync.WaitGroup
	for s := range senders {
		wg.Go(func() {
			for i := range each {
				require.True(t, peer.Send(l, frame.KindCancel, frame.Cancel{ID: uint64(s*each + i)}, nil))
			}
		})
	}
	wg.Wait()
	require.Eventually(t, func() bool { _, _, n, _ := b.counts(); return n == senders*each }, within, step)
	seen := make(map[uint64]bool)
	for _, id := range b.frames {
		require.False(t, seen[id])
		seen[id] = true
	}
}

// Guards against a link that stays down although its node is back, and against
// frames that count as sent on a link which has ended.
func TestLinkIsOpenedAgain(t *testing.T) {
	a, b := &handler{}, &handler{}
	ln := listen(t, "127.0.0.1:0")
	address := ln.Addr().String()
	first := peer.NewMesh(b)
	go first.Accept(ln) //nolint:errcheck // ends with the listener
	m := peer.NewMesh(a)
	defer m.Close()
	m.Connect(t.Context(), address)
	require.Eventually(t, func() bool { return m.Link(address) != nil }, within, step)
	old := m.Link(address)
	ln.Close()
	first.Close()
	require.Eventually(t, func() bool { _, down, _, unreachable := a.counts(); return down == 1 && unreachable > 0 }, within, step)
	require.False(t, peer.Send(old, frame.KindCancel, frame.Cancel{ID: 1}, nil))
	go peer.NewMesh(&handler{}).Accept(listen(t, address)) //nolint:errcheck // ends with the listener
	require.Eventually(t, func() bool { return m.Link(address) != nil }, within, step)
}

// Guards against requests that wait for a node which has fallen silent, while a
// node that only has nothing to say keeps its link.
func TestSilentLinkIsClosed(t *testing.T) {
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
	require.Eventually(t, func() bool { return m.Link(ln.Addr().String()) != nil }, within, step)
	time.Sleep(1500 * time.Millisecond)
	_, down, _, _ := h.counts()
	require.Zero(t, down, "nothing is due")
	h.waits.Store(true)
	require.Eventually(t, func() bool { _, down, _, _ := h.counts(); return down > 0 }, within, step)
}
