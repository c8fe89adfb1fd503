package ingress

import (
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/papayapath/papayapath/internal/socket"
)

// source reads from the connection of a client. During a watch it also tells when
// all that has arrived has been read, without a further system call.
type source struct {
	conn    net.Conn
	raw     syscall.RawConn // nil if the connection has none
	drained func()          // called once, before the first wait for bytes; nil outside of a watch

	try    func(fd uintptr) bool // tryRead
	buffer []byte                // argument of tryRead
	count  int                   // results of tryRead
	err    error
}

func newSource(conn net.Conn) *source {
	s := &source{conn: conn}
	if c, ok := conn.(syscall.Conn); ok {
		if raw, err := c.SyscallConn(); err == nil {
			s.raw, s.try = raw, s.tryRead
		}
	}
	return s
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if s.drained == nil {
		return s.conn.Read(p)
	}
	if s.raw == nil {
		s.reportDrained()
		return s.conn.Read(p)
	}
	s.buffer = p
	if err := s.raw.Read(s.try); err != nil {
		return 0, err
	}
	if s.count == 0 && s.err == nil {
		return 0, io.EOF
	}
	return s.count, s.err
}

// tryRead reads what has arrived. It returns false if there is nothing.
func (s *source) tryRead(fd uintptr) bool {
	if s.count, s.err = socket.ReadNow(fd, s.buffer); s.err == syscall.EAGAIN {
		s.reportDrained()
		return false
	}
	return true
}

// errNoDescriptor means that a connection can be watched only by reading from it.
var errNoDescriptor = errors.New("ingress: connection has no descriptor")

// awaitEnd waits until the client closes the connection, without reading. It returns
// nil then, and the error of the wait if that ends first.
func (s *source) awaitEnd() error {
	if s.raw == nil {
		s.reportDrained()
		return errNoDescriptor
	}
	return s.raw.Read(func(fd uintptr) bool {
		if socket.IsHungUp(fd) {
			return true
		}
		s.reportDrained()
		return false
	})
}

// reportDrained calls drained unless it has been called.
func (s *source) reportDrained() {
	if f := s.drained; f != nil {
		s.drained = nil
		f()
	}
}
