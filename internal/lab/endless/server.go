package endless

import (
	"net"
	"sync/atomic"
	"time"
)

// Server is a process that answers the first bytes of each connection with a stream.
type Server struct {
	stream   Stream
	limit    time.Duration
	listener net.Listener

	sent        atomic.Int64
	connections atomic.Int64
	closed      atomic.Int64
}

// Serve returns a server that sends s on each connection of ln, until the other end
// closes it or the time limit has passed.
func Serve(ln net.Listener, s Stream, limit time.Duration) *Server {
	server := &Server{stream: s, limit: limit, listener: ln}
	go server.accept()
	return server
}

// Address returns the address of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Sent returns the bytes that have been written on all connections, including those
// that only the kernel has taken.
func (s *Server) Sent() int64 { return s.sent.Load() }

// Connections returns the number of connections that have been accepted.
func (s *Server) Connections() int64 { return s.connections.Load() }

// Closed returns the number of connections that the other end has closed before the
// limit.
func (s *Server) Closed() int64 { return s.closed.Load() }

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.connections.Add(1)
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer c.Close() //nolint:errcheck // the connection is not used again
	if _, err := c.Read(make([]byte, 4<<10)); err == nil && s.stream.Send(c, s.limit, &s.sent) {
		s.closed.Add(1)
	}
}
