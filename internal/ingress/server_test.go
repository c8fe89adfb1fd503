package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/ingress"
	"github.com/papayapath/papayapath/pkg/memory"
	"github.com/papayapath/papayapath/pkg/payload"
	"github.com/papayapath/papayapath/pkg/routing"
)

// handler responds with the method, the URI and the body after a delay.
type handler struct {
	limits routing.Limits
	delay  time.Duration
	abort  bool

	mu           sync.Mutex
	requests     []string
	disconnected int
	malformed    int
	refusals     []error
}

func (h *handler) Handle(r *ingress.Request) ingress.Response {
	text := string(r.Header.Method()) + " " + string(r.Header.RequestURI()) + " " + string(r.Body.Bytes())
	h.mu.Lock()
	h.requests = append(h.requests, text)
	h.mu.Unlock()
	select {
	case <-r.Disconnected:
		h.mu.Lock()
		h.disconnected++
		h.mu.Unlock()
	case <-time.After(h.delay):
	}
	return ingress.Response{Status: fasthttp.StatusOK, Head: []byte("X-Test: 1\r\n"), Body: payload.NewBody([]byte(text), nil), Abort: h.abort}
}

func (h *handler) Limits() routing.Limits { return h.limits }

func (h *handler) MalformedRequest(error) {
	h.mu.Lock()
	h.malformed++
	h.mu.Unlock()
}

func (h *handler) RefuseRequest(header *fasthttp.RequestHeader, _ time.Time, err error) ingress.Response {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusals = append(h.refusals, err)
	response := ingress.Response{Status: fasthttp.StatusServiceUnavailable, Head: []byte("Retry-After: 0.1\r\n")}
	if header != nil {
		response.Head = append(response.Head, "Id: "+string(header.Peek("Id"))+"\r\n"...)
	}
	return response
}

func (h *handler) ConnectionRefused(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusals = append(h.refusals, err)
}

func (h *handler) refused() []error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]error(nil), h.refusals...)
}

func (h *handler) handled() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.requests...)
}

func (h *handler) disconnects() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.disconnected
}

// writeTimeout is short, so that a test can wait until it has passed.
const writeTimeout = 200 * time.Millisecond

// serve starts a server and returns it with a connection to it.
func serve(t *testing.T, h *handler) (*ingress.Server, net.Conn) {
	return serveWithin(t, h, nil)
}

// serveWithin is like serve, for a server with a memory budget.
func serveWithin(t *testing.T, h *handler, b *memory.Budget) (*ingress.Server, net.Conn) {
	if h.limits.IdleTimeout == 0 {
		h.limits = routing.New(0).Limits()
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := ingress.New(h, ingress.WithWriteTimeout(writeTimeout), ingress.WithBudget(b))
	go s.Serve(ln) //nolint:errcheck // returns when the listener is closed
	conn, err := net.Dial("tcp4", ln.Addr().String())
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	t.Cleanup(func() {
		conn.Close()
		ln.Close()
	})
	return s, conn
}

func send(t *testing.T, conn net.Conn, text string) {
	_, err := io.WriteString(conn, strings.ReplaceAll(text, "\n", "\r\n"))
	require.NoError(t, err)
}

func receive(t *testing.T, r *bufio.Reader) (int, string, bool) {
	resp := &fasthttp.Response{}
	require.NoError(t, resp.Read(r))
	return resp.StatusCode(), string(resp.Body()), resp.ConnectionClose()
}

// Guards against responses that are matched to the wrong request on a persistent
// connection: with bodies of each framing, a body on a GET and pipelining.
func TestPersistentConnection(t *testing.T) {
	h := &handler{}
	_, conn := serve(t, h)
	r := bufio.NewReader(conn)
	send(t, conn, "GET /one HTTP/1.1\nHost: a\n\n")
	_, body, _ := receive(t, r)
	require.Equal(t, "GET /one ", body)
	send(t, conn, "POST /two HTTP/1.1\nHost: a\nContent-Length: 5\n\nhello")
	_, body, _ = receive(t, r)
	require.Equal(t, "POST /two hello", body)
	send(t, conn, "POST /three HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\n3\nabc\n2\nde\n0\n\n")
	_, body, _ = receive(t, r)
	require.Equal(t, "POST /three abcde", body)
	send(t, conn, "GET /four HTTP/1.1\nHost: a\nContent-Length: 3\n\nxyzGET /five HTTP/1.1\nHost: a\n\nGET /six HTTP/1.1\nHost: a\n\n")
	for _, want := range []string{"GET /four xyz", "GET /five ", "GET /six "} {
		_, body, _ = receive(t, r)
		require.Equal(t, want, body)
	}
}

// Guards against request smuggling.
func TestAmbiguousFramingIsRefused(t *testing.T) {
	for _, head := range []string{
		"Content-Length: 3\nContent-Length: 30\n",
		"Content-Length: 3\nTransfer-Encoding: chunked\n",
		"Transfer-Encoding: identity\n",
		"Transfer-Encoding: chunked, chunked\n",
		"Content-Length: +3\n",
		"Content-Length : 3\n",
		"X: 1\n Content-Length: 3\n",
		"No colon\n",
	} {
		h := &handler{}
		_, conn := serve(t, h)
		send(t, conn, "POST / HTTP/1.1\nHost: a\n"+head+"\nabcGET /smuggled HTTP/1.1\nHost: a\n\n")
		r := bufio.NewReader(conn)
		resp := &fasthttp.Response{}
		if err := resp.Read(r); err == nil {
			require.Equal(t, fasthttp.StatusBadRequest, resp.StatusCode(), head)
		}
		rest, err := io.ReadAll(r)
		require.Empty(t, rest, head)
		_ = err // the connection may be closed or reset
		require.Empty(t, h.handled(), head)
	}
}

// Guards against continuing a request whose client has disconnected: by a close,
// by a close of the sending half, and with pipelined bytes unread.
func TestClientDisconnectIsDetected(t *testing.T) {
	for name, disconnect := range map[string]func(net.Conn){
		"close": func(c net.Conn) { c.Close() },
		"half":  func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
		"ahead": func(c net.Conn) { io.WriteString(c, "GET /next HT"); c.Close() },
	} {
		h := &handler{delay: 5 * time.Second}
		_, conn := serve(t, h)
		send(t, conn, "GET / HTTP/1.1\nHost: a\n\n")
		require.Eventually(t, func() bool { return len(h.handled()) == 1 }, time.Second, time.Millisecond, name)
		disconnect(conn)
		require.Eventually(t, func() bool { return h.disconnects() == 1 }, time.Second, time.Millisecond, name)
	}
}

// Guards against a response that looks complete although it was aborted.
func TestBrokenReplyEndsTheConnection(t *testing.T) {
	_, conn := serve(t, &handler{abort: true})
	send(t, conn, "GET / HTTP/1.1\nHost: a\n\n")
	data, _ := io.ReadAll(conn)
	require.Empty(t, data)
}

// Guards against a stopping node that aborts a request in progress, or that keeps
// connections open on which clients continue to send requests.
func TestStopClosesAfterTheAnswer(t *testing.T) {
	h := &handler{delay: 50 * time.Millisecond}
	s, conn := serve(t, h)
	r := bufio.NewReader(conn)
	send(t, conn, "GET /busy HTTP/1.1\nHost: a\n\n")
	require.Eventually(t, func() bool { return s.ActiveRequests() == 1 }, time.Second, time.Millisecond)
	s.DisableKeepAlives()
	s.CloseIdle()
	status, body, closing := receive(t, r)
	require.Equal(t, fasthttp.StatusOK, status)
	require.Equal(t, "GET /busy ", body)
	require.True(t, closing)
	_, err := r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.Eventually(t, func() bool { return s.OpenConnections() == 0 && s.ActiveRequests() == 0 }, time.Second, time.Millisecond)
}

// Guards against idle connections that are never closed, or that are closed
// before the configured time-out.
func TestIdleConnectionIsClosed(t *testing.T) {
	h := &handler{limits: routing.Limits{
		HeaderBytes: 1 << 14, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: 100 * time.Millisecond,
	}}
	_, conn := serve(t, h)
	r := bufio.NewReader(conn)
	send(t, conn, "GET / HTTP/1.1\nHost: a\n\n")
	receive(t, r)
	start := time.Now()
	_, err := r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.GreaterOrEqual(t, time.Since(start), 90*time.Millisecond)
}

// Guards against rejecting a long header section within the limit, and against
// unbounded memory for one beyond the limit.
func TestLongHeader(t *testing.T) {
	h := &handler{}
	_, conn := serve(t, h)
	r := bufio.NewReader(conn)
	send(t, conn, "GET /long HTTP/1.1\nHost: a\nX: "+strings.Repeat("x", 12<<10)+"\n\n")
	_, body, _ := receive(t, r)
	require.Equal(t, "GET /long ", body)
	send(t, conn, "GET /longer HTTP/1.1\nHost: a\nX: "+strings.Repeat("x", 300<<10)+"\n\n")
	resp := &fasthttp.Response{}
	require.NoError(t, resp.Read(r))
	require.Equal(t, fasthttp.StatusRequestHeaderFieldsTooLarge, resp.StatusCode())
	require.Len(t, h.handled(), 1)
}

// Guards against accepting a body beyond the limit.
func TestLargeBodyIsRefused(t *testing.T) {
	h := &handler{limits: routing.Limits{
		HeaderBytes: 1 << 14, BodyBytes: 10, HeaderTimeout: time.Second, IdleTimeout: time.Second,
	}}
	_, conn := serve(t, h)
	send(t, conn, "POST / HTTP/1.1\nHost: a\nContent-Length: 11\n\nhello world")
	status, _, _ := receive(t, bufio.NewReader(conn))
	require.Equal(t, fasthttp.StatusRequestEntityTooLarge, status)
	require.Empty(t, h.handled())
}

// Guards against closing a persistent connection when the next request arrives
// while the response to the previous one is being completed.
func TestRequestsFollowAtOnce(t *testing.T) {
	h := &handler{}
	for range 4 {
		_, conn := serve(t, h)
		r := bufio.NewReader(conn)
		for range 3000 {
			send(t, conn, "GET /next HTTP/1.1\nHost: a\n\n")
			_, body, _ := receive(t, r)
			require.Equal(t, "GET /next ", body)
		}
	}
}

// Guards against closing a connection without a response because the write
// deadline of an earlier, large response has passed.
func TestLargeAnswerLeavesNoDeadline(t *testing.T) {
	_, conn := serve(t, &handler{})
	r := bufio.NewReader(conn)
	body := strings.Repeat("x", 20<<10)
	send(t, conn, "POST /large HTTP/1.1\nHost: a\nContent-Length: 20480\n\n"+body)
	_, got, _ := receive(t, r)
	require.Len(t, got, len("POST /large ")+len(body))
	time.Sleep(2 * writeTimeout)
	send(t, conn, "GET /small HTTP/1.1\nHost: a\n\n")
	_, got, _ = receive(t, r)
	require.Equal(t, "GET /small ", got)
}

// Guards against bodies that together exhaust the memory, against a refusal that
// the client does not get because its connection is reset, and against a request
// that is refused and handled.
func TestBodyBeyondTheBudget(t *testing.T) {
	b := memory.New(1 << 20)
	other := b.Claim(memory.Response, memory.Fixed, nil)
	require.NoError(t, other.Grow(900_000))
	h := &handler{}
	_, conn := serveWithin(t, h, b)
	text := "POST /large HTTP/1.1\nHost: a\nId: r1\nContent-Length: 1000000\n\n" + strings.Repeat("x", 1_000_000)
	send(t, conn, text)
	resp := &fasthttp.Response{}
	require.NoError(t, resp.Read(bufio.NewReader(conn)))
	require.Equal(t, fasthttp.StatusServiceUnavailable, resp.StatusCode())
	require.NotEmpty(t, resp.Header.Peek("Retry-After"))
	require.Equal(t, "r1", string(resp.Header.Peek("Id")))
	require.True(t, resp.ConnectionClose())
	require.Empty(t, h.handled())
	other.Release()
	conn.Close()
	require.Eventually(t, func() bool { return b.Stats().Used == 0 }, time.Second, time.Millisecond)
	_, conn = serveWithin(t, h, b)
	send(t, conn, text)
	status, _, _ := receive(t, bufio.NewReader(conn))
	require.Equal(t, fasthttp.StatusOK, status)
	require.Len(t, h.handled(), 1)
}

// Guards against a connection that is reset before its client has read the refusal,
// because the transfer is ended after the server has seen that the body is revoked.
func TestRefusalBeforeLateRevocation(t *testing.T) {
	b := memory.New(1 << 20)
	h := &handler{}
	_, conn := serveWithin(t, h, b)
	// The server reads half of the body and waits for more.
	const size, half = 800_000, 400_000
	send(t, conn, fmt.Sprintf("POST /large HTTP/1.1\nHost: a\nId: r1\nContent-Length: %d\n\n", size)+strings.Repeat("x", half))
	require.Eventually(t, func() bool { return b.Stats().Held[memory.Request] >= half }, 5*time.Second, time.Millisecond)
	// Both are revoked at once, this one first.
	slow := b.Claim(memory.Response, memory.Endless, func() {
		send(t, conn, strings.Repeat("x", size/4))
		require.Eventually(t, func() bool { return len(h.refused()) == 1 }, 5*time.Second, time.Millisecond)
		time.Sleep(10 * time.Millisecond)
	})
	require.NoError(t, slow.Grow(1))
	held, other := b.Claim(memory.Response, memory.Fixed, nil), b.Claim(memory.Response, memory.Fixed, nil)
	defer held.Release()
	defer other.Release()
	held.Force(500_000)
	require.NoError(t, other.Grow(100_000))
	// A client sends all of its body before it reads.
	for range 2 {
		send(t, conn, strings.Repeat("x", size/8))
		time.Sleep(20 * time.Millisecond)
	}
	status, _, closing := receive(t, bufio.NewReader(conn))
	require.Equal(t, fasthttp.StatusServiceUnavailable, status)
	require.True(t, closing)
}

// Guards against a body that fits into no budget and that the client is told to
// send again.
func TestBodyLargerThanTheBudget(t *testing.T) {
	h := &handler{}
	for _, framing := range []string{"Content-Length: 200000\n\n", "Transfer-Encoding: chunked\n\n30d40\n"} {
		_, conn := serveWithin(t, h, memory.New(100_000))
		send(t, conn, "POST / HTTP/1.1\nHost: a\n"+framing+strings.Repeat("x", 200_000)+"\n0\n\n")
		status, _, _ := receive(t, bufio.NewReader(conn))
		require.Equal(t, fasthttp.StatusRequestEntityTooLarge, status, framing)
	}
	require.Empty(t, h.handled())
}

// Guards against long header sections that together exhaust the memory.
func TestHeaderBeyondTheBudget(t *testing.T) {
	h := &handler{}
	b := memory.New(64 << 10)
	other := b.Claim(memory.Response, memory.Fixed, nil)
	require.NoError(t, other.Grow(50<<10))
	defer other.Release()
	_, conn := serveWithin(t, h, b)
	send(t, conn, "GET /long HTTP/1.1\nHost: a\nX: "+strings.Repeat("x", 12<<10)+"\n\n")
	status, _, closing := receive(t, bufio.NewReader(conn))
	require.Equal(t, fasthttp.StatusServiceUnavailable, status)
	require.True(t, closing)
	require.Empty(t, h.handled())
}

// Guards against connections that together exhaust the memory. One that is refused
// is closed without having been read, so that its client can safely try again.
func TestConnectionBeyondTheBudget(t *testing.T) {
	h := &handler{}
	_, conn := serveWithin(t, h, memory.New(4<<10))
	_, err := bufio.NewReader(conn).ReadByte()
	require.Error(t, err)
	require.Len(t, h.refused(), 1)
	require.Empty(t, h.handled())
}
