package socket

import (
	"fmt"
	"net"
)

// BoundError reports a connection on which more has arrived than a message may take.
type BoundError struct{ bound int }

// Error states the bound.
func (e *BoundError) Error() string {
	return fmt.Sprintf("socket: more than %d bytes without an answer", e.bound)
}

// Bounded returns a listener whose connections fail with a *BoundError once more than
// the given number of bytes has been read after the last write, whatever they are.
// Requests and answers have to alternate on them.
func Bounded(ln net.Listener, bound int) net.Listener {
	return &boundedListener{Listener: ln, bound: bound}
}

type boundedListener struct {
	net.Listener
	bound int
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &boundedConn{Conn: conn, bound: l.bound, unread: l.bound}, nil
}

type boundedConn struct {
	net.Conn
	bound  int
	unread int // that may still be read before the next write
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	if c.unread <= 0 {
		return 0, &BoundError{bound: c.bound}
	}
	n, err := c.Conn.Read(p[:min(len(p), c.unread)])
	c.unread -= n
	return n, err
}

// Write implements net.Conn.
func (c *boundedConn) Write(p []byte) (int, error) {
	c.unread = c.bound
	return c.Conn.Write(p)
}
