package link_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/papayapath/papayapath/internal/authority"
	"github.com/papayapath/papayapath/internal/keys"
	"github.com/papayapath/papayapath/internal/link"
	"github.com/papayapath/papayapath/internal/reply"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// handler answers calls with their own body.
type handler struct {
	hold     bool
	held     chan struct{} // closed when a call that is held has arrived
	canceled chan struct{}
	control  chan instance.ID
}

func newHandler() *handler {
	return &handler{held: make(chan struct{}), canceled: make(chan struct{}), control: make(chan instance.ID, 1)}
}

func (h *handler) Offer(ctx context.Context, _ instance.ID, o *message.Offer, body []byte, sink reply.Sink) {
	if h.hold {
		close(h.held)
		<-ctx.Done()
		close(h.canceled)
		return
	}
	_ = sink.Head(&message.Head{Status: 200, Length: int64(len(body))})
	for start := 0; start < len(body); start += message.ChunkBytes {
		_ = sink.Data(body[start:min(start+message.ChunkBytes, len(body))])
	}
	_ = sink.Answer(&message.Answer{Call: o.Call, Outcome: outcome.Complete})
}

func (h *handler) Control(from instance.ID, _ *message.Control) { h.control <- from }

// collector is a sink that keeps an answer.
type collector struct {
	mu     sync.Mutex
	body   []byte
	answer *message.Answer
}

func (c *collector) Head(*message.Head) error { return nil }

func (c *collector) Data(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body = append(c.body, p...)
	return nil
}

func (c *collector) Answer(a *message.Answer) error {
	c.answer = a
	return nil
}

func open(t *testing.T, a *authority.Authority, h link.Handler) (*link.Link, instance.ID) {
	t.Helper()
	now := time.Now()
	certificate, err := a.Issue(now, "node")
	require.NoError(t, err)
	socket, address, err := link.Listen("127.0.0.1:0")
	require.NoError(t, err)
	id := instance.New(address, 1)
	l, err := link.Open(id, socket, keys.New(certificate, a.Pool()).Config(), h)
	require.NoError(t, err)
	t.Cleanup(l.Close)
	return l, id
}

func newAuthority(t *testing.T) *authority.Authority {
	t.Helper()
	a, err := authority.New(time.Now())
	require.NoError(t, err)
	return a
}

// Guards against bodies that are cut or mixed up between concurrent calls.
func TestOfferCarriesWholeBodies(t *testing.T) {
	defer goleak.VerifyNone(t)
	a := newAuthority(t)
	client, _ := open(t, a, newHandler())
	server, to := open(t, a, newHandler())
	defer client.Close()
	defer server.Close()
	var wait sync.WaitGroup
	for i := range 32 {
		wait.Go(func() {
			body := make([]byte, 1+i*10_000)
			for j := range body {
				body[j] = byte(i)
			}
			var got collector
			o := &message.Offer{Call: message.CallID{Seq: uint64(i)}}
			require.NoError(t, client.Offer(t.Context(), to, o, body, &got))
			require.Equal(t, body, got.body)
			require.Equal(t, uint64(i), got.answer.Call.Seq)
		})
	}
	wait.Wait()
}

// slowCollector is a collector that takes nothing until it is released.
type slowCollector struct {
	collector
	release chan struct{}
}

func (c *slowCollector) Data(p []byte) error {
	<-c.release
	return c.collector.Data(p)
}

// Guards against a node that stops while the end of an answer is still on its
// way: the answer is written, but not read by the node that made the call.
func TestAnswerIsUnsettledUntilRead(t *testing.T) {
	a := newAuthority(t)
	client, _ := open(t, a, newHandler())
	server, to := open(t, a, newHandler())
	got := slowCollector{release: make(chan struct{})}
	body := make([]byte, 3*message.ChunkBytes)
	done := make(chan error, 1)
	go func() { done <- client.Offer(t.Context(), to, &message.Offer{}, body, &got) }()
	require.Eventually(t, func() bool { return !server.Settled() }, 5*time.Second, time.Millisecond)
	require.Never(t, server.Settled, 100*time.Millisecond, time.Millisecond)
	close(got.release)
	require.NoError(t, <-done)
	require.Eventually(t, server.Settled, 5*time.Second, time.Millisecond)
	require.Len(t, got.body, len(body))
}

// Guards against work that goes on after its caller has gone.
func TestCanceledOfferCancelsTheCall(t *testing.T) {
	a := newAuthority(t)
	client, _ := open(t, a, newHandler())
	h := newHandler()
	h.hold = true
	_, to := open(t, a, h)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		<-h.held
		cancel()
	}()
	err := client.Offer(ctx, to, &message.Offer{}, nil, &collector{})
	var want *link.SendError
	require.ErrorAs(t, err, &want)
	require.True(t, want.Sent())
	select {
	case <-h.canceled:
	case <-time.After(5 * time.Second):
		t.Fatal("the call was not canceled")
	}
}

// Guards against "in doubt" being reported for a node that never answered the
// handshake, and against a false "not run".
func TestOfferToAbsentNodeWasNotSent(t *testing.T) {
	a := newAuthority(t)
	client, _ := open(t, a, newHandler())
	socket, address, err := link.Listen("127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, socket.Close())
	to := instance.New(address, 1)
	err = client.Offer(t.Context(), to, &message.Offer{}, nil, &collector{})
	var want *link.SendError
	require.ErrorAs(t, err, &want)
	require.False(t, want.Sent())
}

// Guards against a stranger, whose certificate another authority signed,
// being served.
func TestStrangerIsRefused(t *testing.T) {
	stranger, _ := open(t, newAuthority(t), newHandler())
	h := newHandler()
	_, to := open(t, newAuthority(t), h)
	require.Error(t, stranger.Offer(t.Context(), to, &message.Offer{}, nil, &collector{}))
	_ = stranger.Control(t.Context(), to, &message.Control{})
	select {
	case <-h.control:
		t.Fatal("a stranger's message was delivered")
	case <-time.After(100 * time.Millisecond):
	}
}

// Guards against control messages without a true sender.
func TestControlNamesItsSender(t *testing.T) {
	a := newAuthority(t)
	client, from := open(t, a, newHandler())
	h := newHandler()
	_, to := open(t, a, h)
	require.NoError(t, client.Control(t.Context(), to, &message.Control{}))
	require.Equal(t, from, <-h.control)
}

// Guards against a race between dropping a connection and opening it, and
// against closing the connection to a newer process at the same address.
func TestDrop(t *testing.T) {
	a := newAuthority(t)
	client, _ := open(t, a, newHandler())
	_, to := open(t, a, newHandler())
	older := instance.New(to.Address(), to.Incarnation()-1)
	var wait sync.WaitGroup
	for range 20 {
		wait.Go(func() { _ = client.Offer(t.Context(), to, &message.Offer{}, nil, &collector{}) })
		wait.Go(func() { client.Drop(to) })
	}
	wait.Wait()
	require.NoError(t, client.Offer(t.Context(), to, &message.Offer{}, nil, &collector{}))
	held := make(chan error)
	go func() { held <- client.Offer(t.Context(), to, &message.Offer{}, make([]byte, 1<<20), &collector{}) }()
	client.Drop(older)
	require.NoError(t, <-held)
}

// Guards against a connection that is opened while the link closes, which would
// outlive it.
func TestOffersWhileClosing(t *testing.T) {
	a := newAuthority(t)
	for range 20 {
		client, _ := open(t, a, newHandler())
		_, to := open(t, a, newHandler())
		var wait sync.WaitGroup
		for range 4 {
			wait.Go(func() {
				client.Offer(t.Context(), to, &message.Offer{}, nil, &collector{}) //nolint:errcheck // may fail or not
			})
		}
		client.Close()
		wait.Wait()
	}
}
