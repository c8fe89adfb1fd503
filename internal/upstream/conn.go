package upstream

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// readBuffer holds the head of an answer.
	readBuffer = 4 << 10
	// staleAnswers bounds the answers to other requests that are skipped
	// before the one that is waited for.
	staleAnswers = 2
)

// conn is a connection to the server. Its goroutine always reads, so that bytes
// which belong to no request, and the end of an idle connection, are noticed
// when they arrive.
type conn struct {
	pool  *Pool
	net   net.Conn
	limit time.Duration // longest idle time
	used  time.Time     // end of the last exchange; written while not idle

	mu       sync.Mutex
	exchange *Exchange
	until    time.Time // when the exchange is given up
	written  bool      // the request has been written, or is by a single write
	closed   bool
}

func newConn(p *Pool, opened net.Conn) *conn {
	return &conn{pool: p, net: opened, limit: idleLimit}
}

// send writes a request. The goroutine of the connection finishes it.
func (c *conn) send(now time.Time, e *Exchange) {
	if !e.attach(c) {
		c.release(now)
		e.done(&Answer{NotRun: true, Err: net.ErrClosed})
		return
	}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		e.detach()
		// The connection ended while it was idle; nothing has been sent.
		go c.pool.startOn(nil, e)
		return
	}
	// Writes to a connection follow one another, so a request that is written
	// at once cannot mix with the next one.
	c.exchange, c.written = e, len(e.request.Raw) <= directWrite
	c.until = now.Add(e.request.Timeout + answerSlack)
	c.mu.Unlock()
	_, err := c.net.Write(e.request.Raw)
	c.mu.Lock()
	c.written = c.written || err == nil
	c.mu.Unlock()
	if err != nil {
		// The reading goroutine reports the failure; the answer may be there.
		c.close()
	}
}

// release makes the connection idle without an exchange.
func (c *conn) release(now time.Time) {
	c.used = now
	c.pool.put(c)
}

// abandon closes an idle connection. It is called with the lock of the pool.
func (c *conn) abandon() { c.net.Close() } //nolint:errcheck // the connection is not used again

func (c *conn) close() {
	c.net.Close() //nolint:errcheck // the reading goroutine sees the end
}

// read takes answers until the connection ends.
func (c *conn) read() {
	r := bufio.NewReaderSize(c.net, readBuffer)
	resp := &fasthttp.Response{}
	for c.next(r, resp) {
		resp.Reset()
	}
	c.close()
	c.pool.remove(c)
}

// next waits for one answer and reports whether the connection can be used
// again.
func (c *conn) next(r *bufio.Reader, resp *fasthttp.Response) bool {
	_, err := r.Peek(1)
	e := c.current()
	if e == nil {
		// Bytes without a request, or the end of an idle connection.
		return c.endIdle()
	}
	if err != nil {
		c.fail(e, err)
		return false
	}
	a, keep := c.answer(r, resp, e)
	c.mu.Lock()
	keep = keep && c.written && r.Buffered() == 0
	c.exchange = nil
	if !keep {
		c.closed = true
	}
	c.mu.Unlock()
	e.detach()
	if keep {
		c.release(time.Now())
	} else {
		c.close()
	}
	e.done(a)
	return keep
}

// expire closes the connection if its exchange is overdue.
func (c *conn) expire(now time.Time) {
	c.mu.Lock()
	overdue := c.exchange != nil && now.After(c.until)
	c.mu.Unlock()
	if overdue {
		c.close()
	}
}

func (c *conn) current() *Exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange
}

// endIdle closes a connection without an exchange. It returns true if one began
// in the meantime.
func (c *conn) endIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange != nil {
		return true
	}
	c.closed = true
	return false
}

// fail reports that the connection ended before the answer.
func (c *conn) fail(e *Exchange, err error) {
	c.mu.Lock()
	c.exchange, c.closed = nil, true
	c.mu.Unlock()
	e.detach()
	e.done(&Answer{Sent: true, Err: err})
}

// answer reads the answer to e, and skips late answers to earlier requests.
func (c *conn) answer(r *bufio.Reader, resp *fasthttp.Response, e *Exchange) (a *Answer, keep bool) {
	d := c.pool.dialect
	for range staleAnswers + 1 {
		resp.Reset()
		resp.Header.SetNoDefaultContentType(true)
		resp.SkipBody = e.request.HeadOnly
		if err := resp.ReadLimitBody(r, c.pool.maxBody); err != nil {
			return &Answer{Sent: true, Err: err}, false
		}
		if d.Matches(&resp.Header, e.request.ID) {
			return c.take(resp)
		}
	}
	return &Answer{Sent: true, Err: &ResponseError{fault: "belongs to another request"}}, false
}

// take turns a whole answer into what the caller gets.
func (c *conn) take(resp *fasthttp.Response) (a *Answer, keep bool) {
	d, h := c.pool.dialect, &resp.Header
	a = &Answer{Status: h.StatusCode(), Sent: true, NotRun: d.NotRun(h)}
	switch {
	case len(h.ContentEncoding()) > 0:
		a.Err = &ResponseError{fault: "has an encoding that was not asked for"}
	case a.Status/100 == 2 && !d.IsSigned(h):
		a.Err = &ResponseError{fault: "bears no signature"}
	}
	if a.Err != nil {
		return a, false
	}
	a.Head = d.AppendResponseHeader(nil, h)
	a.Body = append([]byte(nil), resp.Body()...)
	c.limit = statedLimit(string(h.Peek("Keep-Alive")))
	return a, !h.ConnectionClose()
}

// statedLimit returns how long a connection may be idle before it is used again,
// given the field Keep-Alive of the server.
func statedLimit(field string) time.Duration {
	for _, item := range strings.Split(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		seconds, err := strconv.ParseUint(value, 10, 16)
		if strings.EqualFold(name, "timeout") && err == nil {
			return min(idleLimit, time.Duration(statedPart*float64(seconds)*float64(time.Second)))
		}
	}
	return idleLimit
}
