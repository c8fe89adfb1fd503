package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/pkg/routing"
)

const (
	// readBuffer holds the head of most requests.
	readBuffer = 2 << 10
	// defaultWriteTimeout bounds the time that a client takes to read an
	// answer. It is beyond the deadlines of clients.
	defaultWriteTimeout = 30 * time.Second
	// bodyPause bounds the time that a client takes for the body of a request.
	bodyPause = 30 * time.Second
	// deadlineParts is the divisor of a time-out that gives how far a read
	// deadline may lie beyond it.
	deadlineParts = 3
	// directWrite is the size of an answer up to which the send buffer of a
	// connection without other unsent bytes takes it at once.
	directWrite = 8 << 10
	// lingerTimeout bounds the wait for a client to close after a refusal.
	lingerTimeout = 500 * time.Millisecond
)

// client is one connection of a client.
type client struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader

	ahead atomic.Bool // bytes of a following request have arrived
	until time.Time   // read deadline

	mu     sync.Mutex
	inside bool // a request has begun to arrive or is being answered
	closed bool
}

func newClient(s *Server, conn net.Conn) *client {
	return &client{server: s, conn: conn}
}

// serve answers the requests of the connection one after another.
func (c *client) serve() {
	defer c.server.remove(c)
	defer c.conn.Close() //nolint:errcheck // nothing is left to be done with the connection
	c.reader = bufio.NewReaderSize(c.conn, readBuffer)
	for c.one() {
	}
}

// one serves one request and reports whether another may follow.
func (c *client) one() bool {
	limits := c.server.handler.Limits()
	if c.reader.Buffered() == 0 {
		if !c.allow(time.Now(), limits.IdleTimeout) {
			return false
		}
		if _, err := c.reader.Peek(1); err != nil {
			return false
		}
	}
	if !c.enter() {
		return false
	}
	arrived := time.Now()
	req := fasthttp.AcquireRequest()
	if err := c.receive(req, arrived, &limits); err != nil {
		fasthttp.ReleaseRequest(req)
		return c.malformed(err)
	}
	if !c.allow(arrived, limits.IdleTimeout) {
		fasthttp.ReleaseRequest(req)
		return false
	}
	return c.answer(req, arrived)
}

// allow gives the client at least d from now for what it sends next. A deadline
// that lies a little later is left as it is: each change costs a timer, which
// can wake the process.
func (c *client) allow(now time.Time, d time.Duration) bool {
	step := d / deadlineParts
	if left := c.until.Sub(now); left >= d && left <= d+step {
		return true
	}
	c.until = now.Add(d + step)
	return c.conn.SetReadDeadline(c.until) == nil
}

// receive reads a request. A head that has arrived whole, as most do, needs no
// deadline.
func (c *client) receive(req *fasthttp.Request, now time.Time, limits *routing.Limits) error {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) //nolint:errcheck // never fails for what is buffered
	if !bytes.Contains(buffered, headEnd) && !c.allow(now, limits.HeaderTimeout) {
		return net.ErrClosed
	}
	err := req.Header.Read(c.reader)
	var small *fasthttp.ErrSmallBuffer
	maxHead := limits.HeaderBytes
	for size := 4 * readBuffer; errors.As(err, &small) && size <= 2*max(maxHead, 4*readBuffer); size *= 2 {
		c.grow(size)
		req.Header.Reset()
		err = req.Header.Read(c.reader)
	}
	if err != nil {
		return err
	}
	if err := checkFraming(&req.Header); err != nil {
		return err
	}
	if req.Header.ContentLength() == 0 || req.Header.ContentLength() == -2 {
		return nil
	}
	if req.MayContinue() {
		if _, err := c.conn.Write(continueLine); err != nil {
			return err
		}
	}
	if c.reader.Buffered() < req.Header.ContentLength() || req.Header.ContentLength() < 0 {
		if !c.allow(now, bodyPause) {
			return net.ErrClosed
		}
	}
	return req.ContinueReadBody(c.reader, limits.BodyBytes, false)
}

// headEnd is the empty line after a head.
var headEnd = []byte("\r\n\r\n")

// continueLine asks a client for the body that it holds back.
var continueLine = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// grow gives the connection a larger buffer for a long head.
func (c *client) grow(size int) {
	rest, _ := c.reader.Peek(c.reader.Buffered()) //nolint:errcheck // never fails for what is buffered
	rest = append([]byte(nil), rest...)
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(rest), c.conn), size)
}

// malformed refuses a request that cannot be read, and ends the connection.
func (c *client) malformed(err error) bool {
	if errors.Is(err, io.EOF) || isNetError(err) {
		return false
	}
	c.server.handler.MalformedRequest(err)
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	}
	c.write(&Response{Status: status}, false, true)
	// Closing at once would reset the connection under the answer, because
	// unread bytes may be on their way.
	if tcp, ok := c.conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil &&
		c.conn.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		io.Copy(io.Discard, c.conn) //nolint:errcheck // only waits for the end
	}
	return false
}

func isNetError(err error) bool {
	var e net.Error
	return errors.As(err, &e) || errors.Is(err, net.ErrClosed)
}

// answer has a request handled while it watches the connection.
func (c *client) answer(req *fasthttp.Request, arrived time.Time) bool {
	c.server.busy.Add(1)
	c.ahead.Store(c.reader.Buffered() > 0)
	gone, done := make(chan struct{}), make(chan bool, 1)
	go c.handle(req, arrived, gone, done)
	if c.watch(done) {
		close(gone)
		<-done
		return false
	}
	return <-done
}

// watch returns true once the client has closed the connection, and false once
// the answer has been written. Bytes of a following request are kept.
func (c *client) watch(done chan bool) bool {
	for {
		n := c.reader.Buffered()
		if n >= c.reader.Size() {
			return false
		}
		if _, err := c.reader.Peek(n + 1); err != nil {
			// The deadline in the past is how handle ends the watch. A new one is
			// needed after it.
			c.until = time.Time{}
			return !isTimeout(err)
		}
		c.ahead.Store(true)
		if len(done) > 0 {
			return false
		}
	}
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// handle answers a request and says whether another may follow.
func (c *client) handle(req *fasthttp.Request, arrived time.Time, gone <-chan struct{}, done chan<- bool) {
	reply := c.server.handler.Handle(&Request{
		Header: &req.Header, Body: req.Body(), ReceivedAt: arrived, Disconnected: gone,
	})
	last := req.Header.ConnectionClose() || c.server.stopping.Load() || reply.Abort
	headOnly := req.Header.IsHead()
	fasthttp.ReleaseRequest(req)
	keep := false
	if !reply.Abort {
		keep = c.write(&reply, headOnly, last) && !last
	}
	c.server.busy.Add(-1)
	c.leave()
	if !keep {
		c.conn.Close() //nolint:errcheck // ends the watch
	}
	done <- keep
	if keep {
		// The watch goes on as the wait for the next request, or ends if one is there.
		if c.ahead.Load() && c.conn.SetReadDeadline(time.Unix(0, 1)) != nil {
			c.conn.Close() //nolint:errcheck // ends the watch
		}
	}
}

// enter marks the connection as used by a request. It returns false if it has
// been closed.
func (c *client) enter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inside = true
	return !c.closed
}

func (c *client) leave() {
	c.mu.Lock()
	c.inside = false
	c.mu.Unlock()
}

// closeIdle closes the connection unless a request is on it.
func (c *client) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inside && !c.closed {
		c.closed = true
		c.conn.Close() //nolint:errcheck // ends the wait for a request
	}
}

// write sends an answer.
func (c *client) write(r *Response, headOnly, last bool) bool {
	buf := bytebufferpool.Get()
	defer bytebufferpool.Put(buf)
	b := append(buf.B[:0], "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.Status), 10)
	b = append(b, ' ')
	b = append(b, fasthttp.StatusMessage(r.Status)...)
	b = append(b, "\r\n"...)
	b = append(b, r.Head...)
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	if bodyAllowed(r.Status) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	if !headOnly && bodyAllowed(r.Status) {
		b = append(b, r.Body...)
	}
	buf.B = b
	if len(b) <= directWrite {
		_, err := c.conn.Write(b)
		return err == nil
	}
	if c.conn.SetWriteDeadline(time.Now().Add(c.server.writeTimeout)) != nil {
		return false
	}
	_, err := c.conn.Write(b)
	// The deadline would end later answers on the connection.
	return err == nil && c.conn.SetWriteDeadline(time.Time{}) == nil
}

// bodyAllowed reports whether answers with a status have a body.
func bodyAllowed(status int) bool {
	return status >= fasthttp.StatusOK && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}
