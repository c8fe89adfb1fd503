package standin

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// connectTimeout is the time that a client allows a new connection.
const connectTimeout = time.Second

// Attempt is one attempt of a client, with its own id.
type Attempt struct {
	ID, Method, Host, Path string
	Body                   []byte
	Deadline               time.Duration

	Node    string    // address it was sent to
	Sent    time.Time // when its last byte was sent
	Ended   time.Time
	Kept    bool // it was sent on a connection that had served another one
	Status  int  // 0 without a complete answer
	Closed  bool // the node ended the connection without a complete answer
	Failure error
}

// Client sends requests to one node over kept connections.
type Client struct {
	address string
	record  *Record

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
	used   bool
}

// NewClient returns a client of the node at address.
func NewClient(address string, r *Record) *Client { return &Client{address: address, record: r} }

// Do sends an attempt and waits until its answer, its deadline or the end of the
// connection.
func (c *Client) Do(a *Attempt) *Attempt {
	begin := time.Now()
	a.Node = c.address
	conn, err := c.take()
	if err != nil {
		a.Failure, a.Ended = err, time.Now()
		c.record.Printf("attempt %s: no connection: %v", a.ID, err)
		return a
	}
	a.Kept = conn.used
	keep, err := c.exchange(conn, a, begin)
	a.Ended = time.Now()
	if err != nil {
		a.Status, a.Failure = 0, err
		a.Closed = !errors.Is(err, os.ErrDeadlineExceeded)
	}
	if keep && err == nil {
		conn.used = true
		c.put(conn)
	} else {
		conn.Close() //nolint:errcheck // the connection is discarded
	}
	if a.Status != http.StatusOK {
		c.record.Printf("attempt %s to %s ends: status %d, closed %t, kept connection %t, %v", a.ID, c.address, a.Status, a.Closed, a.Kept, a.Failure)
	} else {
		c.record.Printf("attempt %s to %s is answered", a.ID, c.address)
	}
	return a
}

func (c *Client) exchange(conn *clientConn, a *Attempt, begin time.Time) (keep bool, err error) {
	if err := conn.SetDeadline(begin.Add(a.Deadline)); err != nil {
		return false, err
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", a.Method, a.Path, a.Host, a.ID, a.Deadline.Milliseconds())
	if a.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.Body))
	}
	b.WriteString("\r\n")
	b.Write(a.Body)
	c.record.Printf("attempt %s to %s is sent", a.ID, c.address)
	if _, err := conn.Write(b.Bytes()); err != nil {
		return false, err
	}
	a.Sent = time.Now()
	resp, err := http.ReadResponse(conn.reader, &http.Request{Method: a.Method})
	if err != nil {
		return false, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return false, err
	}
	a.Status = resp.StatusCode
	return !resp.Close && !strings.EqualFold(resp.Header.Get("Connection"), "close"), nil
}

func (c *Client) take() (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp4", c.address, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *Client) put(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}
