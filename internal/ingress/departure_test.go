package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/ingress"
	"github.com/papayapath/papayapath/pkg/routing"
)

// departureBound is the time within which a node knows that a client has left.
const departureBound = 500 * time.Millisecond

// connectionState is a state of a connection while a request on it is handled.
type connectionState struct {
	idle   time.Duration // idle time-out of the configuration
	before string        // requests that are answered before
	text   string        // the request, and what follows it
	rest   string        // rest of the last request of text, if that is not complete
	wait   time.Duration // time after which the client leaves, if it does
}

var (
	further = strings.Repeat("GET /further HTTP/1.1\nHost: a\n\n", 300)

	connectionStates = map[string]connectionState{
		"nothing follows":                   {text: "GET /slow HTTP/1.1\nHost: a\n\n"},
		"idle time-out passes":              {idle: 60 * time.Millisecond, text: "GET /slow HTTP/1.1\nHost: a\n\n", wait: 300 * time.Millisecond},
		"idle time-out passes, one follows": {idle: 60 * time.Millisecond, text: "GET /slow HTTP/1.1\nHost: a\n\nGET /further HTTP/1.1\nHost: a\n\n", wait: 300 * time.Millisecond},
		"part of a request follows":         {text: "GET /slow HTTP/1.1\nHost: a\n\nGET /fur", rest: "ther HTTP/1.1\nHost: a\n\n"},
		"requests fill the buffer":          {text: "GET /slow HTTP/1.1\nHost: a\n\n" + further},
		"idle time-out passes, buffer full": {idle: 60 * time.Millisecond, text: "GET /slow HTTP/1.1\nHost: a\n\n" + further, wait: 300 * time.Millisecond},
		"long header":                       {text: "GET /slow HTTP/1.1\nHost: a\nX: " + strings.Repeat("x", 12<<10) + "\n\n"},
		"long header, buffer full":          {text: "GET /slow HTTP/1.1\nHost: a\nX: " + strings.Repeat("x", 12<<10) + "\n\n" + further + further + further},
		"body":                              {text: "POST /slow HTTP/1.1\nHost: a\nContent-Length: 20000\n\n" + strings.Repeat("x", 20000)},
		"chunked body":                      {text: "POST /slow HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\n3\nabc\n0\n\n"},
		"one was answered before":           {before: "GET /fast HTTP/1.1\nHost: a\n\n", text: "GET /slow HTTP/1.1\nHost: a\n\n"},
		"it followed another":               {text: "GET /fast HTTP/1.1\nHost: a\n\nGET /slow HTTP/1.1\nHost: a\n\n"},
	}
)

// slowHandler handles /slow for a while, and counts departures.
type slowHandler struct {
	limits routing.Limits
	delay  time.Duration
	slow   atomic.Int64 // requests for /slow
	left   atomic.Int64 // of these, clients that left before the answer
	leftAt atomic.Int64 // of these, clients that had left before the request was handled
	begun  sync.Map     // IDs of requests for /slow
}

func (h *slowHandler) Handle(r *ingress.Request) ingress.Response {
	if string(r.Header.RequestURI()) == "/slow" {
		h.slow.Add(1)
		h.begun.Store(string(r.Header.Peek("Id")), true)
		select {
		case <-r.Disconnected:
			h.leftAt.Add(1)
		default:
		}
		select {
		case <-r.Disconnected:
			h.left.Add(1)
			return ingress.Response{Abort: true}
		case <-time.After(h.delay):
		}
	}
	return ingress.Response{Status: fasthttp.StatusOK}
}

func (h *slowHandler) Limits() routing.Limits { return h.limits }

func (h *slowHandler) MalformedRequest(error) {}

func (h *slowHandler) RefuseRequest(*fasthttp.RequestHeader, time.Time, error) ingress.Response {
	return ingress.Response{Status: fasthttp.StatusServiceUnavailable}
}

func (h *slowHandler) ConnectionRefused(error) {}

// open starts a server and returns a connection to it in the state s.
func (s connectionState) open(t *testing.T, h *slowHandler) (net.Conn, *bufio.Reader) {
	h.limits = routing.New(0).Limits()
	if s.idle > 0 {
		h.limits.IdleTimeout = s.idle
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go ingress.New(h).Serve(ln) //nolint:errcheck // returns when the listener is closed
	conn, err := net.Dial("tcp4", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	r := bufio.NewReader(conn)
	if s.before != "" {
		send(t, conn, s.before)
		receive(t, r)
	}
	send(t, conn, s.text)
	require.Eventually(t, func() bool { return h.slow.Load() == 1 }, time.Second, time.Millisecond)
	time.Sleep(max(s.wait, 50*time.Millisecond))
	return conn, r
}

// Guards against GONE: a request whose client leaves while it is handled, unseen
// because of the state of its connection. The watch ended with the idle time-out,
// and when further requests filled the buffer.
func TestDepartureInEveryStateOfConnection(t *testing.T) {
	for name, s := range connectionStates {
		for how, leave := range map[string]func(*net.TCPConn) error{
			"closed":      func(c *net.TCPConn) error { return c.Close() },
			"half closed": func(c *net.TCPConn) error { return c.CloseWrite() },
			"reset":       func(c *net.TCPConn) error { c.SetLinger(0); return c.Close() },
		} {
			t.Run(name+", "+how, func(t *testing.T) {
				t.Parallel()
				h := &slowHandler{delay: 4 * time.Second}
				conn, _ := s.open(t, h)
				require.Zero(t, h.left.Load())
				require.NoError(t, leave(conn.(*net.TCPConn)))
				require.Eventually(t, func() bool { return h.left.Load() == 1 }, departureBound, time.Millisecond)
				require.EqualValues(t, 1, h.slow.Load(), "requests that follow are not handled")
			})
		}
	}
}

// Guards against the reverse of GONE: a client that stays and is taken for one that
// has left, in each of the same states.
func TestStayingClientIsServedInEveryStateOfConnection(t *testing.T) {
	for name, s := range connectionStates {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := &slowHandler{delay: 700 * time.Millisecond}
			conn, r := s.open(t, h)
			send(t, conn, s.rest)
			for range strings.Count(s.text+s.rest, " HTTP/1.1") {
				status, _, closing := receive(t, r)
				require.Equal(t, fasthttp.StatusOK, status)
				require.False(t, closing)
			}
			send(t, conn, "GET /more HTTP/1.1\nHost: a\n\n")
			status, _, _ := receive(t, r)
			require.Equal(t, fasthttp.StatusOK, status)
			require.Zero(t, h.left.Load())
		})
	}
}

// Guards against GONE: a request that is read after its client has left, because the
// node accepted or read late, and that is passed on before anybody looks for the end
// of the connection.
func TestClientThatLeftBeforeItsRequestWasRead(t *testing.T) {
	const clients = 200
	h := &slowHandler{limits: routing.New(0).Limits(), delay: 4 * time.Second}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	for i := range clients {
		conn, err := net.Dial("tcp4", ln.Addr().String())
		require.NoError(t, err)
		text := "GET /slow HTTP/1.1\nHost: a\n\n"
		if i%2 == 1 {
			text += further
		}
		send(t, conn, text)
		require.NoError(t, conn.Close())
	}
	go ingress.New(h).Serve(ln) //nolint:errcheck // returns when the listener is closed
	require.Eventually(t, func() bool { return h.left.Load() == clients }, 2*time.Second, time.Millisecond)
	require.EqualValues(t, clients, h.leftAt.Load(), "known when the request is handled")
}

// Guards against GONE, and against a connection that is cut: the watch of a request
// was interrupted by the deadline that belonged to the one before it, when the
// request arrived just as the one before was answered.
func TestWatchOfRequestThatFollowsAtOnce(t *testing.T) {
	const clients, rounds = 50, 40
	h := &slowHandler{limits: routing.New(0).Limits(), delay: 4 * time.Second}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	go ingress.New(h).Serve(ln) //nolint:errcheck // returns when the listener is closed
	var wg sync.WaitGroup
	var failed atomic.Value
	for i := range clients {
		wg.Go(func() {
			for k := range rounds {
				if err := h.leaveAfterBurst(ln.Addr().String(), fmt.Sprintf("%d-%d", i, k)); err != nil {
					failed.Store(err)
					return
				}
			}
		})
	}
	wg.Wait()
	require.Nil(t, failed.Load())
	require.Eventually(t, func() bool { return h.left.Load() == clients*rounds }, departureBound, time.Millisecond)
}

// leaveAfterBurst sends requests, each as soon as the one before is answered, the
// last one for /slow, and leaves while that is handled.
func (h *slowHandler) leaveAfterBurst(address, id string) error {
	const burst = 3
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return err
	}
	r, resp := bufio.NewReader(conn), &fasthttp.Response{}
	for i := range burst {
		if _, err := io.WriteString(conn, "GET /fast HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			return err
		}
		if err := resp.Read(r); err != nil {
			return fmt.Errorf("answer %d: %w", i, err)
		}
	}
	if _, err := fmt.Fprintf(conn, "GET /slow HTTP/1.1\r\nHost: a\r\nId: %s\r\n\r\n", id); err != nil {
		return err
	}
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if _, ok := h.begun.Load(id); ok {
			return nil
		}
	}
	return fmt.Errorf("request %s is not handled", id)
}
