package upstream

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/fault"
	"github.com/papayapath/papayapath/internal/framing"
	"github.com/papayapath/papayapath/internal/socket"
	"github.com/papayapath/papayapath/pkg/memory"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/payload"
	"github.com/papayapath/papayapath/pkg/proof"
)

const (
	// readBufferSize has to hold the header section of a response.
	readBufferSize = 4 << 10
	// headSize holds the header fields of most responses.
	headSize = 256
	// maxStaleResponses is the number of responses to earlier requests that
	// are skipped before the expected one.
	maxStaleResponses = 2
)

// conn is a connection to the server. Its goroutine reads all the time, so that
// unsolicited bytes and the end of an idle connection are detected when they
// arrive.
type conn struct {
	pool     *Pool
	net      net.Conn
	openedAt time.Time
	maxIdle  time.Duration
	lastUsed time.Time // end of the last exchange; written while not idle

	mu       sync.Mutex
	exchange *Exchange
	deadline time.Time // of the exchange
	written  bool      // the request has been written, or a single write is in progress
	closed   bool
}

func newConn(p *Pool, opened net.Conn) *conn {
	return &conn{pool: p, net: socket.Direct(opened), openedAt: time.Now(), maxIdle: defaultMaxIdle}
}

// send writes a request. The reading goroutine completes the exchange.
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
		// The connection was closed while idle; nothing has been sent.
		go c.pool.startOn(nil, e)
		return
	}
	// Writes to a connection are serialized, so a request written in a single
	// call cannot interleave with the next one.
	c.exchange, c.written = e, e.request.size() <= maxInlineWrite
	deadline := now.Add(e.request.Timeout + responseGrace)
	c.deadline = deadline
	c.mu.Unlock()
	c.pool.scheduleSweep(now, deadline)
	err := e.request.write(c.net)
	c.mu.Lock()
	c.written = c.written || err == nil
	c.mu.Unlock()
	if err != nil {
		// The reading goroutine reports the failure, because the response may
		// have arrived already.
		c.close()
	}
}

// release returns a connection without an exchange to the pool.
func (c *conn) release(now time.Time) {
	c.lastUsed = now
	c.pool.put(c)
}

// discard closes an idle connection. The caller must hold the lock of the pool.
func (c *conn) discard() { c.net.Close() } //nolint:errcheck // the connection is not used again

func (c *conn) close() {
	c.net.Close() //nolint:errcheck // the reading goroutine detects the end
}

// readLoop reads responses until the connection ends.
func (c *conn) readLoop() {
	r := readers.Get().(*bufio.Reader)
	defer readers.Put(r)
	defer r.Reset(nil)
	r.Reset(c.net)
	h := &fasthttp.ResponseHeader{}
	for c.completeNext(r, h) {
	}
	c.close()
	c.pool.remove(c)
}

// readers holds the buffers of connections that have ended, *bufio.Reader of
// readBufferSize.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// completeNext waits for a response, completes the exchange and reports whether
// the connection can be reused.
func (c *conn) completeNext(r *bufio.Reader, h *fasthttp.ResponseHeader) bool {
	_, err := r.Peek(1)
	e := c.current()
	if e == nil {
		// Unsolicited bytes, or the end of an idle connection.
		return c.closeIdle()
	}
	if err != nil {
		c.fail(e, err)
		return false
	}
	a, keep := c.decodeAnswer(r, h, e)
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

// closeOverdue closes the connection if its exchange has passed its deadline. Otherwise
// it returns the deadline, or zero if there is no exchange.
func (c *conn) closeOverdue(now time.Time) time.Time {
	c.mu.Lock()
	isIdle, deadline := c.exchange == nil, c.deadline
	c.mu.Unlock()
	switch {
	case isIdle:
		return time.Time{}
	case now.After(deadline):
		c.close()
		return time.Time{}
	}
	return deadline
}

func (c *conn) current() *Exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange
}

// closeIdle marks a connection without an exchange as closed. It returns true
// if an exchange has started in the meantime.
func (c *conn) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange != nil {
		return true
	}
	c.closed = true
	return false
}

// fail completes an exchange whose connection ended before the response.
func (c *conn) fail(e *Exchange, err error) {
	c.mu.Lock()
	c.exchange, c.closed = nil, true
	c.mu.Unlock()
	e.detach()
	e.done(&Answer{Sent: true, Err: err})
}

// decodeAnswer reads the response to e. A panic ends the exchange and the
// connection.
func (c *conn) decodeAnswer(r *bufio.Reader, h *fasthttp.ResponseHeader, e *Exchange) (a *Answer, keep bool) {
	a, err := fault.Call(func() (read *Answer, _ error) {
		read, keep = c.readAnswer(r, h, e)
		return read, nil
	})
	if err != nil {
		return &Answer{Sent: true, Err: err}, false
	}
	return a, keep
}

// claim returns a claim on memory for the body of a response. If it is revoked, the
// connection is closed, so that the server stops sending.
func (c *conn) claim(announced bool) *memory.Claim {
	class := memory.Endless
	if announced {
		class = memory.Announced
	}
	return c.pool.budget.Claim(memory.Response, class, c.close)
}

// readAnswer reads the response to e and skips late responses to earlier
// requests.
func (c *conn) readAnswer(r *bufio.Reader, h *fasthttp.ResponseHeader, e *Exchange) (a *Answer, keep bool) {
	for range maxStaleResponses + 1 {
		body, err := framing.ReadResponse(r, h, e.request.HeadOnly, c.pool.maxBody, c.claim)
		if err != nil {
			return &Answer{Sent: true, Err: err}, false
		}
		if c.pool.codec.Matches(h, e.request.ID) {
			return c.newAnswer(h, body, e.request.Instance)
		}
		body.Release()
	}
	return &Answer{Sent: true, Err: &ResponseError{reason: "belongs to another request"}}, false
}

// newAnswer validates a complete response and copies the header fields that the
// caller gets. It reports whether the connection can be kept.
func (c *conn) newAnswer(h *fasthttp.ResponseHeader, body *payload.Body, instance string) (a *Answer, keep bool) {
	hc := c.pool.codec
	response := proof.New(h.StatusCode()).WithInstances(instance, hc.InstanceID(h))
	if hc.NotRun(h) {
		response = response.WithRefusal()
	}
	proved := response.Outcome()
	a = &Answer{Status: h.StatusCode(), Sent: true, NotRun: proved == outcome.NotRun, Opened: c.openedAt}
	switch {
	case len(h.ContentEncoding()) > 0:
		a.Err = &ResponseError{reason: "has an unsolicited content coding"}
	case proved == outcome.Unknown:
		a.Err = &ResponseError{reason: "is no error, but says that the request was not run"}
	case a.Status/100 == 2 && !hc.IsSigned(h):
		a.Err = &ResponseError{reason: "has no signature"}
	}
	if a.Err != nil {
		a.NotRun = false // an invalid response proves nothing
		body.Release()
		return a, false
	}
	a.Notice = hc.Notice(h)
	a.Head = hc.AppendResponseHeader(make([]byte, 0, headSize), h)
	a.Body = body
	c.maxIdle = keepAliveTimeout(string(h.Peek("Keep-Alive")))
	return a, !h.ConnectionClose()
}

// keepAliveTimeout returns how long a connection may be idle before it is
// reused, given the server's Keep-Alive header field.
func keepAliveTimeout(field string) time.Duration {
	if field == "" {
		return defaultMaxIdle
	}
	for _, parameter := range strings.Split(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.ParseUint(value, 10, 16)
		if strings.EqualFold(name, "timeout") && err == nil {
			return min(defaultMaxIdle, time.Duration(keepAliveFraction*float64(seconds)*float64(time.Second)))
		}
	}
	return defaultMaxIdle
}
