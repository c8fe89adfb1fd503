package ingress

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/pkg/routing"
)

// Request is one request of a client.
type Request struct {
	Header       *fasthttp.RequestHeader
	Body         []byte
	ReceivedAt   time.Time       // of the first byte
	Disconnected <-chan struct{} // closed when the client closes its connection
}

// Response is the answer to a request.
type Response struct {
	Status int
	Head   []byte // header fields, each with its line end
	Body   []byte
	Abort  bool // close the connection without an answer
}

// Handler answers requests. It owns the request until it returns.
type Handler interface {
	Handle(r *Request) Response
	// Limits returns the limits that are in force.
	Limits() routing.Limits
	// MalformedRequest notes a request that was refused because of its form.
	MalformedRequest(err error)
}

// Server accepts the connections of clients. It is safe for concurrent use.
type Server struct {
	handler      Handler
	writeTimeout time.Duration
	stopping     atomic.Bool

	mu      sync.Mutex
	clients map[*client]struct{}
	busy    atomic.Int64
}

// Option sets a property of a Server.
type Option func(*Server)

// WithWriteTimeout bounds the time that a client takes to read an answer.
func WithWriteTimeout(d time.Duration) Option { return func(s *Server) { s.writeTimeout = d } }

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
		c := newClient(s, conn)
		s.mu.Lock()
		s.clients[c] = struct{}{}
		s.mu.Unlock()
		go c.serve()
	}
}

// DisableKeepAlives has each connection closed after its next answer.
func (s *Server) DisableKeepAlives() { s.stopping.Store(true) }

// CloseIdle closes the connections without a request. Clients that send one at
// the same moment may send it again, since it was not read.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		c.closeIdle()
	}
}

// ActiveRequests returns the number of requests that are being answered.
func (s *Server) ActiveRequests() int { return int(s.busy.Load()) }

// OpenConnections returns the number of connections.
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
