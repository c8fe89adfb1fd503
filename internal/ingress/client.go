package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/fault"
	"github.com/papayapath/papayapath/internal/framing"
	"github.com/papayapath/papayapath/pkg/memory"
	"github.com/papayapath/papayapath/pkg/payload"
	"github.com/papayapath/papayapath/pkg/routing"
)

const (
	// readBufferSize holds the header section of most requests.
	readBufferSize = 2 << 10
	// defaultWriteTimeout bounds the time that a client takes to read a
	// response. It is longer than the deadlines of clients.
	defaultWriteTimeout = 30 * time.Second
	// bodyTimeout bounds the time that a client takes to send the body of a
	// request.
	bodyTimeout = 30 * time.Second
	// deadlineSlackDivisor gives the slack of a read deadline as a fraction of
	// the time-out.
	deadlineSlackDivisor = 3
	// lingerTimeout bounds the wait for a client to close its connection after
	// the response to a malformed request.
	lingerTimeout = 500 * time.Millisecond
	// refusedBodyTimeout bounds the time in which a client that is refused for
	// lack of memory sends the rest of its body.
	refusedBodyTimeout = 10 * time.Second
	// maxCopiedBody is the size up to which a body is copied behind its header for
	// a single write.
	maxCopiedBody = 16 << 10
)

// client is the connection of a client.
type client struct {
	server *Server
	conn   net.Conn
	source *source
	reader *bufio.Reader // of source
	claim  *memory.Claim // for the connection and its buffer

	readDeadline  time.Time
	writeDeadline time.Time

	mu        sync.Mutex
	active    bool // a request is being received or handled
	watching  bool // serve reads on while a request is handled
	pipelined bool // bytes of a further request have arrived during the watch
	closed    bool
	lingering bool // the response was written, what the client still sends is discarded
}

func newClient(s *Server, conn net.Conn, claim *memory.Claim) *client {
	return &client{server: s, conn: conn, source: newSource(conn), claim: claim}
}

// serve handles the requests of the connection sequentially.
func (c *client) serve() {
	defer c.server.remove(c)
	defer c.claim.Release()
	defer c.conn.Close() //nolint:errcheck // the connection is discarded
	reader := readers.Get().(*bufio.Reader)
	defer readers.Put(reader)
	defer reader.Reset(nil)
	reader.Reset(c.source)
	c.reader = reader
	for c.serveRequest() {
	}
}

// readers holds the buffers of connections that have ended, *bufio.Reader of
// readBufferSize. Many clients open a connection for each request.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// serveRequest handles one request and reports whether the connection stays
// open for another.
func (c *client) serveRequest() bool {
	if c.reader.Buffered() == 0 {
		if !c.extendReadDeadline(time.Now(), c.server.handler.Limits().IdleTimeout) {
			return false
		}
		if _, err := c.reader.Peek(1); err != nil {
			return false
		}
	}
	if !c.begin() {
		return false
	}
	// The configuration may have changed while the connection was idle.
	receivedAt, limits := time.Now(), c.server.handler.Limits()
	req := fasthttp.AcquireRequest()
	body, err := fault.Call(func() (*payload.Body, error) { return c.receive(req, receivedAt, &limits) })
	if err != nil {
		defer fasthttp.ReleaseRequest(req)
		var exhausted *memory.ExhaustedError
		if errors.As(err, &exhausted) && !exhausted.IsOversized() {
			return c.refuse(&req.Header, receivedAt, exhausted)
		}
		return c.rejectMalformed(err)
	}
	if !c.extendReadDeadline(receivedAt, limits.IdleTimeout) {
		fasthttp.ReleaseRequest(req)
		body.Release()
		return false
	}
	return c.handleWatched(req, body, receivedAt, limits.IdleTimeout)
}

// extendReadDeadline gives the client at least d from now to send its next
// bytes. A deadline that is slightly later is left unchanged, because each change
// resets a timer, which can wake the process.
func (c *client) extendReadDeadline(now time.Time, d time.Duration) bool {
	slack := d / deadlineSlackDivisor
	if remaining := c.readDeadline.Sub(now); remaining >= d && remaining <= d+slack {
		return true
	}
	c.readDeadline = now.Add(d + slack)
	return c.conn.SetReadDeadline(c.readDeadline) == nil
}

// receive reads the header of a request into req and returns the body. It sets no
// deadline for a header section that has arrived completely, as most have. After a
// *memory.ExhaustedError for the header section the header is empty.
func (c *client) receive(req *fasthttp.Request, now time.Time, limits *routing.Limits) (*payload.Body, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) //nolint:errcheck // never fails for buffered bytes
	if !bytes.Contains(buffered, headerEnd) && !c.extendReadDeadline(now, limits.HeaderTimeout) {
		return nil, net.ErrClosed
	}
	err := req.Header.Read(c.reader)
	var small *fasthttp.ErrSmallBuffer
	maxHeader := limits.HeaderBytes
	for size := 4 * readBufferSize; errors.As(err, &small) && size <= 2*max(maxHeader, 4*readBufferSize); size *= 2 {
		req.Header.Reset()
		if err := c.growBuffer(size); err != nil {
			return nil, err
		}
		err = req.Header.Read(c.reader)
	}
	if err != nil {
		return nil, err
	}
	if err := framing.Check(req.Header.RawHeaders()); err != nil {
		return nil, err
	}
	length := req.Header.ContentLength()
	if length == 0 || length == lengthIdentity {
		return nil, nil
	}
	maxBody := limits.BodyBytes
	if b := c.server.budget; b != nil {
		// A larger body would be refused whenever it comes.
		maxBody = min(maxBody, int(b.Limit()))
	}
	if length > maxBody {
		return nil, payload.ErrTooLarge
	}
	if req.MayContinue() {
		if _, err := c.conn.Write(continueLine); err != nil {
			return nil, err
		}
	}
	if c.reader.Buffered() < length || length < 0 {
		if !c.extendReadDeadline(now, bodyTimeout) {
			return nil, net.ErrClosed
		}
	}
	return framing.ReadBody(c.reader, length, maxBody, c.claimBody)
}

// lengthIdentity is the content length that fasthttp reports for a request without
// a body.
const lengthIdentity = -2

// claimBody returns a claim on memory for the body of a request. If it is revoked,
// reading ends.
func (c *client) claimBody(bool) *memory.Claim {
	return c.server.budget.Claim(memory.Request, memory.Unstarted, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.lingering {
			c.conn.SetReadDeadline(time.Unix(0, 1)) //nolint:errcheck // fails only for a closed connection
		}
	})
}

// headerEnd terminates the header section of a request.
var headerEnd = []byte("\r\n\r\n")

// continueLine tells a client that sent Expect: 100-continue to send the body.
var continueLine = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// growBuffer replaces the read buffer by a larger one for a long header section.
func (c *client) growBuffer(size int) error {
	if err := c.claim.Grow(size); err != nil {
		return err
	}
	unread, _ := c.reader.Peek(c.reader.Buffered()) //nolint:errcheck // never fails for buffered bytes
	unread = append([]byte(nil), unread...)
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(unread), c.source), size)
	return nil
}

// refuse responds to a request for which there is no memory, and ends the
// connection. It always returns false.
func (c *client) refuse(h *fasthttp.RequestHeader, receivedAt time.Time, err *memory.ExhaustedError) bool {
	if len(h.RawHeaders()) == 0 {
		h = nil
	}
	response := c.server.handler.RefuseRequest(h, receivedAt, err)
	c.write(&response, false, true)
	c.linger(refusedBodyTimeout)
	return false
}

// linger discards what the client still sends, for at most d, and no more than the
// header section and the body of a request may take, with as many bytes in lines of
// chunks. Closing with unread bytes would reset the connection before the client has
// read the response.
func (c *client) linger(d time.Duration) {
	c.mu.Lock()
	c.lingering = true
	err := c.conn.SetReadDeadline(time.Now().Add(d))
	c.mu.Unlock()
	if tcp, ok := c.conn.(interface{ CloseWrite() error }); ok && err == nil && tcp.CloseWrite() == nil {
		limits := c.server.handler.Limits()
		io.CopyN(io.Discard, c.conn, int64(limits.HeaderBytes+2*limits.BodyBytes)) //nolint:errcheck // only waits for the client to close
	}
}

// rejectMalformed responds to a request that cannot be read, and ends the
// connection. It always returns false.
func (c *client) rejectMalformed(err error) bool {
	if errors.Is(err, io.EOF) || isNetError(err) {
		return false
	}
	c.server.handler.MalformedRequest(err)
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	var exhausted *memory.ExhaustedError
	switch {
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, payload.ErrTooLarge), errors.As(err, &exhausted):
		status = fasthttp.StatusRequestEntityTooLarge
	}
	c.write(&Response{Status: status}, false, true)
	c.linger(lingerTimeout)
	return false
}

func isNetError(err error) bool {
	var e net.Error
	return errors.As(err, &e) || errors.Is(err, net.ErrClosed)
}

// handleWatched handles a request in a goroutine of its own while it watches the
// connection. It reports whether the connection stays open. The request is handled
// once all that the client has sent has been read, so that a client that left before
// its request was read is known to have left.
func (c *client) handleWatched(req *fasthttp.Request, body *payload.Body, receivedAt time.Time, idleTimeout time.Duration) bool {
	c.server.activeRequests.Add(1)
	c.mu.Lock()
	c.watching, c.pipelined = true, c.reader.Buffered() > 0
	c.mu.Unlock()
	disconnected, done := make(chan struct{}), make(chan bool, 1)
	c.source.drained = func() {
		c.server.workers.run(func() { c.handle(req, body, receivedAt, disconnected, done) })
	}
	if !c.watch(idleTimeout) {
		return <-done
	}
	close(disconnected)
	c.source.reportDrained()
	<-done
	return false
}

// watch returns true when the client closes the connection, and false when the
// request has been handled and the next one has begun to arrive or is overdue. Bytes
// of pipelined requests stay buffered.
func (c *client) watch(idleTimeout time.Duration) (left bool) {
	for {
		var err error
		if n := c.reader.Buffered(); n < c.reader.Size() {
			_, err = c.reader.Peek(n + 1)
		} else if err = c.source.awaitEnd(); err == nil {
			return true
		}
		switch {
		case err == errNoDescriptor:
			c.stopWatch()
			return false
		case err != nil && !isTimeout(err):
			return true
		}
		if c.endWatch(err == nil) {
			return false
		}
		// The request may be handled for longer than the client may be idle.
		if err != nil && !c.extendReadDeadline(time.Now(), idleTimeout) {
			return true
		}
	}
}

// stopWatch ends the watch while the request may still be handled.
func (c *client) stopWatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watching = false
}

// endWatch ends the watch if the request has been handled, and reports whether it
// did. If bytes of a further request have arrived, handle interrupts the watch.
func (c *client) endWatch(pipelined bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pipelined = c.pipelined || pipelined
	c.watching = c.active
	if !pipelined || !c.watching {
		// The deadline has passed or may have been set by handle.
		c.readDeadline = time.Time{}
	}
	return !c.watching
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// handle handles a request, writes the response and sends on done whether the
// connection stays open.
func (c *client) handle(req *fasthttp.Request, body *payload.Body, receivedAt time.Time, disconnected <-chan struct{}, done chan<- bool) {
	response := c.server.handler.Handle(&Request{
		Header: &req.Header, Body: body, ReceivedAt: receivedAt, Disconnected: disconnected, conn: c.conn,
	})
	last := req.Header.ConnectionClose() || c.server.keepAlivesDisabled.Load() || response.Abort
	headOnly := req.Header.IsHead()
	fasthttp.ReleaseRequest(req)
	body.Release()
	keep := false
	if !response.Abort {
		keep = c.write(&response, headOnly, last) && !last
	}
	response.Body.Release()
	c.server.activeRequests.Add(-1)
	keep = c.end() && keep
	if !keep {
		c.conn.Close() //nolint:errcheck // ends the watch
	}
	done <- keep
}

// begin marks the connection as active. It returns false if the connection has
// been closed.
func (c *client) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = true
	return !c.closed
}

// end marks the connection as not active. The watch goes on as the wait for the next
// request. It is interrupted if one has already begun to arrive. end returns false if
// it cannot be.
func (c *client) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = false
	return !c.watching || !c.pipelined || c.conn.SetReadDeadline(time.Unix(0, 1)) == nil
}

// closeIdle closes the connection unless it is active.
func (c *client) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.active && !c.closed {
		c.closed = true
		c.conn.Close() //nolint:errcheck // ends the wait for a request
	}
}

// write sends a response and reports whether it was written completely.
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
		b = strconv.AppendInt(b, int64(r.Body.Len()), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	var segments [][]byte
	if !headOnly && bodyAllowed(r.Status) {
		if r.Body.Len() <= maxCopiedBody {
			b = r.Body.AppendTo(b)
		} else {
			segments = r.Body.Segments()
		}
	}
	buf.B = b
	if !c.extendWriteDeadline(time.Now()) {
		return false
	}
	if segments == nil {
		_, err := c.conn.Write(b)
		return err == nil
	}
	buffers := append(net.Buffers{b}, segments...)
	_, err := buffers.WriteTo(c.conn)
	return err == nil
}

// extendWriteDeadline gives the client at least the write time-out from now to read a
// response. A small one can block as well, behind those that a client has not read. A
// deadline that is slightly later is left unchanged, as in extendReadDeadline.
func (c *client) extendWriteDeadline(now time.Time) bool {
	d := c.server.writeTimeout
	if c.writeDeadline.Sub(now) >= d {
		return true
	}
	c.writeDeadline = now.Add(d + d/deadlineSlackDivisor)
	return c.conn.SetWriteDeadline(c.writeDeadline) == nil
}

// bodyAllowed reports whether responses with a status have a body.
func bodyAllowed(status int) bool {
	return status >= fasthttp.StatusOK && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}
