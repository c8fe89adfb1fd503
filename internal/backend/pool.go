package backend

import (
	"bufio"
	"context"
	"net"
	"sync"

	"github.com/papayapath/papayapath/internal/socket"
	"github.com/papayapath/papayapath/pkg/message"
)

// maxIdle bounds the idle connections that are kept to a backend server.
const maxIdle = 512

// connection is a keep-alive connection to a backend server.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	ended  bool // the backend server has closed its sending half
}

// Read reads from the socket and notes its end. The HTTP library reports a
// chunked body that is cut off like one that is whole; only the end of the
// connection tells them apart.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.ended = true
	}
	return n, err
}

// pool keeps idle connections to one address. The HTTP library's own pool
// can't close the connection of a single request, which is how a run is
// canceled.
type pool struct {
	address string
	dialer  net.Dialer

	mu   sync.Mutex
	idle []*connection
}

// take returns an idle connection that is still open, or a new one.
func (p *pool) take(ctx context.Context) (*connection, error) {
	for {
		c := p.pop()
		if c == nil {
			return p.dial(ctx)
		}
		if !socket.IsClosedByPeer(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *pool) pop() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

func (p *pool) dial(ctx context.Context) (*connection, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: conn, writer: bufio.NewWriter(conn)}
	c.reader = bufio.NewReaderSize(c, message.MaxHeaderBytes)
	return c, nil
}

// put gives back a connection whose answer has been read to its end.
func (p *pool) put(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}
