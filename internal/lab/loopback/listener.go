package loopback

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// anyPort is a loopback address with a free port chosen by the operating
// system.
const anyPort = "127.0.0.1:0"

// Listener accepts TCP connections on a loopback address and tracks them, so
// that all of them can be closed at once.
type Listener struct {
	net.Listener

	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed bool
}

// Listen returns a listener on a free loopback port, or a *ListenError.
func Listen() (*Listener, error) { return ListenAt(anyPort) }

// ListenAt returns a listener on address, or a *ListenError.
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

// CheckAddress returns a *ListenError unless address is a loopback address
// with a port. The lab must not connect to other instances.
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

// Accept waits for the next connection and returns it.
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

// CloseAll closes the listener and all accepted connections.
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

// conn is a connection that is removed from its listener on close. It embeds
// *net.TCPConn so that handlers can use SyscallConn.
type conn struct {
	*net.TCPConn
	listener *Listener
}

func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

// errNotLoopback is the cause of a ListenError for an address that is not a
// loopback address.
var errNotLoopback = &net.AddrError{Err: "not a loopback address"}

// ListenError reports an address on which the lab can't listen or to which it
// must not connect.
type ListenError struct {
	address string
	cause   error
}

// Error returns the address and the cause.
func (e *ListenError) Error() string { return fmt.Sprintf("address %s: %v", e.address, e.cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.cause }
