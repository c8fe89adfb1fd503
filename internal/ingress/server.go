package ingress

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/socket"
	"github.com/papayapath/papayapath/pkg/memory"
	"github.com/papayapath/papayapath/pkg/payload"
	"github.com/papayapath/papayapath/pkg/routing"
)

// Request is a request of a client.
type Request struct {
	Header       *fasthttp.RequestHeader
	Body         *payload.Body
	ReceivedAt   time.Time       // of the first byte
	Disconnected <-chan struct{} // closed when the client closes its connection

	conn net.Conn
}

// HasLeft reports whether the client has closed its connection. It is exact even
// before Disconnected is closed, which takes until the watch of the connection runs,
// but costs a system call.
func (r *Request) HasLeft() bool {
	select {
	case <-r.Disconnected:
		return true
	default:
	}
	return socket.IsClosedByPeer(r.conn)
}

// Response is the response to a request.
type Response struct {
	Status int
	Head   []byte        // header fields, each terminated by CRLF
	Body   *payload.Body // released once it has been written
	Abort  bool          // close the connection without a response
}

// Handler handles requests.
type Handler interface {
	// Handle returns the response to r. It must not use r after it returns.
	Handle(r *Request) Response
	// Limits returns the limits for requests of clients.
	Limits() routing.Limits
	// MalformedRequest reports a request that was rejected as malformed.
	MalformedRequest(err error)
	// RefuseRequest returns the response to a request that cannot be received,
	// because there is no memory for it. Its header is nil if that could not be
	// received either.
	RefuseRequest(h *fasthttp.RequestHeader, receivedAt time.Time, err error) Response
	// ConnectionRefused reports a connection that was closed, without having been
	// read, because there is no memory for it.
	ConnectionRefused(err error)
}

// connectionMemory is what a connection holds apart from its requests, in bytes:
// buffers, stacks of goroutines and small parts.
const connectionMemory = 8 << 10

// Server serves the connections of clients. It is safe for concurrent use.
type Server struct {
	handler            Handler
	writeTimeout       time.Duration
	budget             *memory.Budget // nil if memory is unlimited
	keepAlivesDisabled atomic.Bool
	workers            workers

	mu             sync.Mutex
	clients        map[*client]struct{}
	activeRequests atomic.Int64
}

// Option sets a property of a Server.
type Option func(*Server)

// WithWriteTimeout bounds the time that a client takes to read a response.
func WithWriteTimeout(d time.Duration) Option { return func(s *Server) { s.writeTimeout = d } }

// WithBudget bounds the memory of all connections and requests together.
func WithBudget(b *memory.Budget) Option { return func(s *Server) { s.budget = b } }

// New returns a server without connections.
func New(h Handler, options ...Option) *Server {
	s := &Server{handler: h, writeTimeout: defaultWriteTimeout, clients: make(map[*client]struct{})}
	for _, o := range options {
		o(s)
	}
	return s
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		claim := s.budget.Claim(memory.Connection, memory.Fixed, nil)
		if err := claim.Grow(connectionMemory); err != nil {
			s.handler.ConnectionRefused(err)
			conn.Close() //nolint:errcheck // nothing has been read
			continue
		}
		c := newClient(s, socket.Direct(conn), claim)
		s.mu.Lock()
		s.clients[c] = struct{}{}
		s.mu.Unlock()
		go c.serve()
	}
}

// DisableKeepAlives closes each connection after its next response.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// CloseIdle closes the connections without an active request. A client that
// sends a request at the same time can safely send it again, because it has not
// been read.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		c.closeIdle()
	}
}

// ActiveRequests returns the number of requests that are being handled.
func (s *Server) ActiveRequests() int { return int(s.activeRequests.Load()) }

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients)
}

func (s *Server) remove(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, c)
}
