package loopback

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// anyPort lets the operating system choose a free port.
const anyPort = "127.0.0.1:0"

// Listener accepts TCP connections on a loopback address and remembers them,
// so that all of them can be cut at once.
type Listener struct {
	net.Listener

	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed bool
}

// Listen returns a listener on a free loopback port. It returns a
// *ListenError on failure.
func Listen() (*Listener, error) { return ListenAt(anyPort) }

// ListenAt returns a listener on address. It returns a *ListenError on
// failure.
func ListenAt(address string) (*Listener, error) {
	if err := CheckAddress(address); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{address: address, cause: err}
	}
	return &Listener{Listener: l, conns: make(map[*conn]struct{})}, nil
}

// CheckAddress returns a *ListenError unless address is a loopback address with a
// port. The lab must not reach other instances.
func CheckAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return &ListenError{address: address, cause: err}
	}
	if !a.Addr().IsLoopback() {
		return &ListenError{address: address, cause: errNotLoopback}
	}
	return nil
}

// Address returns the address and port of the listener.
func (l *Listener) Address() string { return l.Addr().String() }

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &conn{TCPConn: c.(*net.TCPConn), listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	l.conns[tracked] = struct{}{}
	return tracked, nil
}

// CloseAll closes the listener and every connection it has accepted.
func (l *Listener) CloseAll() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.conns {
		_ = c.TCPConn.Close()
	}
	clear(l.conns)
}

// conn is a connection that tells its listener when it closes. It embeds the
// TCP connection whole, so that SyscallConn stays available to handlers.
type conn struct {
	*net.TCPConn
	listener *Listener
}

// Close closes the connection.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

// errNotLoopback is the cause of a refused address.
var errNotLoopback = &net.AddrError{Err: "not a loopback address"}

// ListenError reports an address that can't be used by the lab.
type ListenError struct {
	address string
	cause   error
}

// Error names the address.
func (e *ListenError) Error() string { return fmt.Sprintf("address %s: %v", e.address, e.cause) }

// Unwrap returns the error of the network.
func (e *ListenError) Unwrap() error { return e.cause }
