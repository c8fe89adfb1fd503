package link

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc"

	"github.com/papayapath/papayapath/internal/reply"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
)

const (
	// protocol is the ALPN name; a node of another protocol version fails in
	// the handshake.
	protocol = "papayapath/1"
	// idleTimeout closes unused connections, so that a node holds none to the
	// nodes that it called or probed long ago.
	idleTimeout = 30 * time.Second
	// dialTimeout bounds the wait for a connection that is being opened. It is
	// well under a call's deadline, so that another server can be tried.
	dialTimeout = 500 * time.Millisecond
	// handshakeTimeout bounds a handshake, which goes on for later callers when
	// the first ones have given up. On a busy machine it can outlast their
	// patience, and handshakes that are given up and begun again keep it busy.
	handshakeTimeout = 5 * time.Second
	// maxStreams bounds the calls that one node may have open on another.
	maxStreams = 4096
	// maxDatagram is the largest control message sent as a datagram; 1200
	// bytes is the smallest MTU of QUIC, less room for headers.
	maxDatagram = 1100
	// receiptTimeout is how long a node is given to read the end of an answer.
	// A slow caller of a large download takes some seconds.
	receiptTimeout = 30 * time.Second
	// resetCode ends a stream whose answer is no longer wanted.
	resetCode quic.StreamErrorCode = 1
)

// Handler receives what other nodes send. Its methods are called from many
// goroutines.
type Handler interface {
	// Offer runs a call and writes the answer to sink. ctx ends when the
	// caller's node withdraws the call or its connection breaks.
	Offer(ctx context.Context, from instance.ID, o *message.Offer, body []byte, sink reply.Sink)
	// Control receives a control message.
	Control(from instance.ID, m *message.Control)
}

// Link is a node's end of its connections to other nodes.
//
// Lock order: mu is held alone, never while a peer is waited for.
type Link struct {
	self      instance.ID
	handler   Handler
	tls       *tls.Config
	config    *quic.Config
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     conc.WaitGroup
	unread    atomic.Int64 // calls of other nodes whose answer has not been read there

	mu     sync.Mutex
	closed bool // no connection is opened any more
	conns  map[netip.AddrPort]*connection
}

// connection is a connection that is open or being opened. ready is closed
// when conn or err is set.
//
// Link.mu guards the other fields.
type connection struct {
	ready       chan struct{}
	conn        *quic.Conn
	err         error
	incarnation uint64 // of the node at the other end; 0 until it has sent something
}

// Listen opens the socket of a link and returns it with its address, in which
// a port 0 has been replaced by a free one. It returns an *OpenError on
// failure.
func Listen(address string) (*net.UDPConn, netip.AddrPort, error) {
	wanted, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, netip.AddrPort{}, &OpenError{address: address, cause: err}
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(wanted))
	if err != nil {
		return nil, netip.AddrPort{}, &OpenError{address: address, cause: err}
	}
	return socket, unmapped(socket.LocalAddr()), nil
}

// Open serves other nodes on socket until Close. config needs a certificate
// and the authority of the other nodes' ones. It returns an *OpenError, and
// closes the socket, if it can't be used.
func Open(self instance.ID, socket *net.UDPConn, config *tls.Config, handler Handler) (*Link, error) {
	config = config.Clone()
	config.NextProtos = []string{protocol}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		self: self, handler: handler, tls: config,
		config: &quic.Config{
			MaxIdleTimeout:     idleTimeout,
			MaxIncomingStreams: maxStreams,
			EnableDatagrams:    true,
		},
		transport: &quic.Transport{Conn: socket},
		ctx:       ctx, cancel: cancel,
		conns: make(map[netip.AddrPort]*connection),
	}
	listener, err := l.transport.Listen(config, l.config)
	if err != nil {
		cancel()
		_ = socket.Close()
		return nil, &OpenError{address: self.Address().String(), cause: err}
	}
	l.listener = listener
	l.tasks.Go(l.accept)
	return l, nil
}

// Close ends all connections and waits for the handlers.
func (l *Link) Close() {
	l.cancel()
	_ = l.listener.Close()
	l.mu.Lock()
	l.closed = true
	for _, c := range l.conns {
		if c.conn != nil {
			_ = c.conn.CloseWithError(0, "closed")
		}
	}
	l.mu.Unlock()
	_ = l.transport.Close()
	_ = l.transport.Conn.Close()
	l.tasks.Wait()
}

// Drop closes the connection to a node that is known to have failed. The
// connection to a newer incarnation at its address stays open, and so does one
// that is being opened: a node that has failed does not end the handshake.
func (l *Link) Drop(id instance.ID) {
	l.mu.Lock()
	c := l.conns[id.Address()]
	if c == nil || c.conn == nil || c.incarnation != 0 && c.incarnation != id.Incarnation() {
		l.mu.Unlock()
		return
	}
	delete(l.conns, id.Address())
	l.mu.Unlock()
	_ = c.conn.CloseWithError(0, "dropped")
}

// note records which incarnation is at the other end of conn.
func (l *Link) note(conn *quic.Conn, from instance.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.conns[from.Address()]; c != nil && c.conn == conn {
		c.incarnation = from.Incarnation()
	}
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept(l.ctx)
		if err != nil {
			return
		}
		address := unmapped(conn.RemoteAddr())
		l.mu.Lock()
		l.conns[address] = opened(conn)
		l.mu.Unlock()
		l.serve(conn, address)
	}
}

func opened(conn *quic.Conn) *connection {
	c := &connection{ready: make(chan struct{}), conn: conn}
	close(c.ready)
	return c
}

// unmapped returns a UDP address in the form that instance IDs have.
func unmapped(a net.Addr) netip.AddrPort {
	udp, ok := a.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	address := udp.AddrPort()
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// connect returns the open connection to address, or dials one. Callers that
// come during a handshake share it. They wait for dialTimeout at most.
func (l *Link) connect(ctx context.Context, address netip.AddrPort) (*quic.Conn, error) {
	l.mu.Lock()
	c := l.conns[address]
	if c == nil && l.closed {
		l.mu.Unlock()
		return nil, net.ErrClosed
	}
	if c == nil {
		c = &connection{ready: make(chan struct{})}
		l.conns[address] = c
		l.tasks.Go(func() { l.dial(c, address) })
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeoutCause(ctx, dialTimeout, &HandshakeError{waited: dialTimeout})
	defer cancel()
	select {
	case <-c.ready:
		return c.conn, c.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

func (l *Link) dial(c *connection, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(l.ctx, handshakeTimeout)
	defer cancel()
	conn, err := l.transport.Dial(ctx, net.UDPAddrFromAddrPort(address), l.tls, l.config)
	l.mu.Lock()
	c.conn, c.err = conn, err
	if err != nil && l.conns[address] == c {
		delete(l.conns, address)
	}
	l.mu.Unlock()
	close(c.ready)
	if err == nil {
		l.serve(conn, address)
	}
}

// serve handles what the node at address sends on conn until conn ends.
func (l *Link) serve(conn *quic.Conn, address netip.AddrPort) {
	l.tasks.Go(func() { l.serveCalls(conn, address) })
	l.tasks.Go(func() { l.serveStreams(conn, address) })
	l.tasks.Go(func() { l.serveDatagrams(conn, address) })
	l.tasks.Go(func() {
		<-conn.Context().Done()
		l.forget(conn, address)
	})
}

func (l *Link) forget(conn *quic.Conn, address netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.conns[address]; c != nil && c.conn == conn {
		delete(l.conns, address)
	}
}
