package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/fault"
	"github.com/papayapath/papayapath/internal/upstream"
	"github.com/papayapath/papayapath/pkg/notice"
)

// codec takes the id of the request from the field Id, a signature from Seal
// and a refusal from Not-Run.
type codec struct{}

func (codec) Matches(h *fasthttp.ResponseHeader, id string) bool {
	if len(h.Peek("Panic")) > 0 {
		panic("malformed header field")
	}
	return string(h.Peek("Id")) == id
}

func (codec) NotRun(h *fasthttp.ResponseHeader) bool { return len(h.Peek("Not-Run")) > 0 }

func (codec) InstanceID(h *fasthttp.ResponseHeader) string { return string(h.Peek("Instance")) }

func (codec) IsSigned(h *fasthttp.ResponseHeader) bool { return len(h.Peek("Seal")) > 0 }

func (codec) Notice(*fasthttp.ResponseHeader) notice.Notice { return notice.Notice{} }

func (codec) AppendResponseHeader(dst []byte, h *fasthttp.ResponseHeader) []byte {
	return append(append(append(dst, "Id: "...), h.Peek("Id")...), "\r\n"...)
}

// serve starts a server that has script answer each request, and returns a pool
// for it and the number of connections accepted. n counts the requests of all
// connections from 1. A connection is closed when script returns false.
func serve(t *testing.T, script func(n int, id string, c net.Conn) bool) (*upstream.Pool, *atomic.Int64) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	var requests, conns atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req := &fasthttp.Request{}
					if req.Read(r) != nil || !script(int(requests.Add(1)), string(req.Header.Peek("Id")), c) {
						return
					}
				}
			}()
		}
	}()
	return upstream.New(ln.Addr().String(), codec{}, 1<<20), &conns
}

// do runs a request and returns the result.
func do(p *upstream.Pool, id string, timeout time.Duration) *upstream.Answer {
	results := make(chan *upstream.Answer, 2)
	p.Start(time.Now(), &upstream.Request{
		ID: id, Raw: []byte("GET / HTTP/1.1\r\nHost: a\r\nId: " + id + "\r\n\r\n"), Timeout: timeout,
	}, func(a *upstream.Answer) { results <- a })
	return <-results
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: 1\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// Guards against opening a connection for each request.
func TestConnectionsAreKept(t *testing.T) {
	p, conns := serve(t, func(_ int, id string, c net.Conn) bool {
		io.WriteString(c, response(id, "body"))
		return true
	})
	for i := range 5 {
		a := do(p, fmt.Sprint(i), time.Second)
		require.NoError(t, a.Err)
		require.Equal(t, "body", string(a.Body.Bytes()))
		require.Equal(t, fmt.Sprintf("Id: %d\r\n", i), string(a.Head))
		time.Sleep(10 * time.Millisecond)
	}
	require.Equal(t, int64(1), conns.Load())
}

// Guards against returning the response to another request: a duplicate that
// follows at once, one that arrives while the connection is idle, and one that
// arrives before the expected response.
func TestExtraAnswers(t *testing.T) {
	for name, delay := range map[string]time.Duration{"at once": 0, "idle": 20 * time.Millisecond} {
		p, _ := serve(t, func(_ int, id string, c net.Conn) bool {
			io.WriteString(c, response(id, "first"))
			time.Sleep(delay)
			io.WriteString(c, response(id, "extra"))
			return true
		})
		for i := range 6 {
			a := do(p, fmt.Sprint(i), time.Second)
			require.NoError(t, a.Err, name)
			require.Equal(t, "first", string(a.Body.Bytes()), name)
			time.Sleep(40 * time.Millisecond)
		}
	}
	p, _ := serve(t, func(n int, id string, c net.Conn) bool {
		if n == 2 {
			io.WriteString(c, response("1", "late"))
		}
		io.WriteString(c, response(id, "own"))
		return true
	})
	for i := 1; i <= 3; i++ {
		a := do(p, fmt.Sprint(i), time.Second)
		require.NoError(t, a.Err)
		require.Equal(t, "own", string(a.Body.Bytes()))
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against accepting an incomplete or invalid response, and against taking
// it as proof that the request was not run.
func TestBrokenAnswers(t *testing.T) {
	for name, script := range map[string]func(id string, c net.Conn){
		"cut body": func(id string, c net.Conn) { io.WriteString(c, response(id, "whole body")[:60]) },
		"cut chunks": func(id string, c net.Conn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSeal: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab")
		},
		"no answer": func(string, net.Conn) {},
		"garbage":   func(_ string, c net.Conn) { io.WriteString(c, "\x00\x01garbage\r\n\r\n") },
		"other id":  func(_ string, c net.Conn) { io.WriteString(c, response("other", "x")) },
		"no signature": func(id string, c net.Conn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n")
		},
		"encoded": func(id string, c net.Conn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSeal: 1\r\nContent-Encoding: gzip\r\nContent-Length: 0\r\n\r\n")
		},
		"reset without length": func(id string, c net.Conn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSeal: 1\r\nConnection: close\r\n\r\npart")
			time.Sleep(20 * time.Millisecond)
			c.(*net.TCPConn).SetLinger(0)
		},
	} {
		p, _ := serve(t, func(_ int, id string, c net.Conn) bool {
			script(id, c)
			return false
		})
		a := do(p, "1", time.Second)
		require.Error(t, a.Err, name)
		require.False(t, a.NotRun, name)
		require.True(t, a.Sent, name)
	}
}

// Guards against rejecting a complete response whose end is marked by the close
// of the connection.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	p, _ := serve(t, func(_ int, id string, c net.Conn) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSeal: 1\r\nConnection: close\r\n\r\nwhole")
		return false
	})
	a := do(p, "1", time.Second)
	require.NoError(t, a.Err)
	require.Equal(t, "whole", string(a.Body.Bytes()))
}

// Guards against waiting for an unresponsive server beyond the time-out, and
// against ignoring a refusal.
func TestSilentAndRefusingServer(t *testing.T) {
	p, _ := serve(t, func(n int, id string, c net.Conn) bool {
		if n == 1 {
			time.Sleep(time.Second)
			return false
		}
		io.WriteString(c, "HTTP/1.1 503 Busy\r\nId: "+id+"\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	a := do(p, "1", 50*time.Millisecond)
	require.Error(t, a.Err)
	require.True(t, a.Sent)
	a = do(p, "2", time.Second)
	require.NoError(t, a.Err)
	require.True(t, a.NotRun)
}

// Guards against waiting for an unresponsive server until the deadline of another
// request: one timer serves them all.
func TestDeadlinesInAnyOrder(t *testing.T) {
	const (
		margin = 400 * time.Millisecond // 220 ms of it are the pool's
		short  = 100 * time.Millisecond
		long   = 1500 * time.Millisecond
	)
	for name, timeouts := range map[string][]time.Duration{"short first": {short, long}, "long first": {long, short}} {
		t.Run(name, func(t *testing.T) {
			p, _ := serve(t, func(int, string, net.Conn) bool { return true })
			var all sync.WaitGroup
			for i, timeout := range timeouts {
				all.Go(func() {
					begun := time.Now()
					assert.Error(t, do(p, fmt.Sprint(i), timeout).Err)
					took := time.Since(begun)
					assert.GreaterOrEqual(t, took, timeout)
					assert.Less(t, took, timeout+margin)
				})
				time.Sleep(10 * time.Millisecond)
			}
			all.Wait()
		})
	}
}

// Guards against reporting a request as sent although the server refuses
// connections.
func TestUnreachableServer(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	ln.Close()
	a := do(upstream.New(ln.Addr().String(), codec{}, 1<<20), "1", time.Second)
	require.True(t, upstream.IsUnreachable(a))
	require.True(t, a.NotRun)
	require.False(t, a.Sent)
}

// Guards against a server that continues to run a canceled request.
func TestCancelClosesTheConnection(t *testing.T) {
	ended := make(chan struct{})
	started := make(chan struct{})
	p, _ := serve(t, func(_ int, _ string, c net.Conn) bool {
		close(started)
		io.Copy(io.Discard, c)
		close(ended)
		return false
	})
	results := make(chan *upstream.Answer, 2)
	e := p.Start(time.Now(), &upstream.Request{ID: "1", Raw: []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), Timeout: time.Minute},
		func(a *upstream.Answer) { results <- a })
	<-started
	e.Cancel()
	<-ended
	require.Error(t, (<-results).Err)
	require.Empty(t, results)
}

// allocated returns the number of bytes that the process allocates during f.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against a health check whose response has a body without end. The body
// was buffered until the time-out: 255 MB in 1.3 s, on instances of 184 MB.
func TestHealthCheckWithEndlessBody(t *testing.T) {
	const memoryLimit = 8 << 20
	chunk := strings.Repeat("x", 32<<10)
	for name, head := range map[string]string{
		"no length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"chunked":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"length":    "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := serveRaw(t, func(c net.Conn) {
				io.WriteString(c, head)
				for {
					body := chunk
					if name == "chunked" {
						body = fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk)
					}
					if _, err := io.WriteString(c, body); err != nil {
						return
					}
				}
			})
			require.Less(t, allocated(func() {
				require.Error(t, upstream.CheckHealth(t.Context(), address, "/health", time.Second, func(*fasthttp.ResponseHeader) {}))
			}), uint64(memoryLimit))
		})
	}
}

// serveRaw starts a server that passes each connection to script after its first
// bytes have arrived, and returns its address.
func serveRaw(t *testing.T, script func(c net.Conn)) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := c.Read(make([]byte, 4096)); err == nil {
					script(c)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// rawPool returns a pool whose server writes the given bytes after each request,
// with ID replaced by the ID of the request. If endless, it repeats the last
// bytes until the connection is closed.
func rawPool(t *testing.T, response, endless string) *upstream.Pool {
	p, _ := serve(t, func(_ int, id string, c net.Conn) bool {
		if _, err := io.WriteString(c, strings.ReplaceAll(response, "ID", id)); err != nil {
			return false
		}
		for endless != "" {
			if _, err := io.WriteString(c, endless); err != nil {
				return false
			}
		}
		return false
	})
	return p
}

// Guards against a response that two implementations could delimit differently,
// and one that breaks off, each taken for a complete success.
func TestInvalidResponseIsNoSuccess(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: 1\r\n"
	for name, response := range map[string]string{
		"two lengths":            head + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
		"two equal lengths":      head + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
		"length and chunks":      head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"signed length":          head + "Content-Length: +3\r\n\r\nabc",
		"other coding":           head + "Transfer-Encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"folded line":            head + "X: a\r\n Content-Length: 9\r\nContent-Length: 3\r\n\r\nabc",
		"short body":             head + "Content-Length: 5\r\n\r\nabc",
		"missing chunk":          head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"cut chunk":              head + "Transfer-Encoding: chunked\r\n\r\n9\r\nabc",
		"invalid chunk size":     head + "Transfer-Encoding: chunked\r\n\r\n-1\r\nabc\r\n0\r\n\r\n",
		"cut trailer":            head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: y",
		"body over the limit":    head + "Content-Length: 2000000\r\n\r\n",
		"no header section":      "abc",
		"interim responses only": strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 9) + head + "Content-Length: 3\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			a := do(rawPool(t, response, ""), "a", time.Second)
			require.Error(t, a.Err)
			require.True(t, a.Sent)
			require.False(t, a.NotRun)
		})
	}
}

// Guards against valid forms of a body that are refused or damaged.
func TestFormsOfBody(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: 1\r\n"
	for name, response := range map[string]string{
		"length":           head + "Content-Length: 3\r\n\r\nabc",
		"chunks":           head + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n2;x=y\r\nbc\r\n0\r\n\r\n",
		"trailer":          head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n",
		"until the end":    head + "Connection: close\r\n\r\nabc",
		"interim response": "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 3\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			a := do(rawPool(t, response, ""), "a", time.Second)
			require.NoError(t, a.Err)
			require.Equal(t, "abc", string(a.Body.Bytes()))
		})
	}
}

// Guards against bytes without end that are no response: they took 80 MB a second
// until the deadline of the request.
func TestEndlessResponse(t *testing.T) {
	const (
		head        = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: 1\r\n"
		memoryLimit = 16 << 20 // the pool's limit of 1 MiB for a body, with the growth of its buffer
	)
	fill := strings.Repeat("x", 32<<10)
	for name, c := range map[string]struct{ response, endless string }{
		"start line":        {"", fill},
		"header field":      {head + "X: ", fill},
		"header fields":     {head, strings.Repeat("X: y\r\n", 1000)},
		"interim responses": {"", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100)},
		"body":              {head + "Connection: close\r\n\r\n", fill},
		"chunks":            {head + "Transfer-Encoding: chunked\r\n\r\n", "8000\r\n" + fill + "\r\n"},
		"tiny chunks":       {head + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 1000)},
		"chunk size":        {head + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 1000)},
		"chunk extension":   {head + "Transfer-Encoding: chunked\r\n\r\n3;", fill},
		"trailer line":      {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", fill},
		"trailer lines":     {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X: y\r\n", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			p := rawPool(t, c.response, c.endless)
			start := time.Now()
			bytes := allocated(func() {
				a := do(p, "a", 5*time.Second)
				require.Error(t, a.Err)
				require.False(t, a.NotRun)
			})
			require.Less(t, time.Since(start), 4*time.Second)
			require.Less(t, bytes, uint64(memoryLimit))
			t.Logf("%d KB allocated", bytes>>10)
		})
	}
}

// Guards against memory for a length that the server announces but never sends.
func TestAnnouncedLengthAllocatesNothing(t *testing.T) {
	p := rawPool(t, "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: 1\r\nContent-Length: 1000000\r\n\r\nabc", "")
	require.Less(t, allocated(func() {
		require.ErrorIs(t, do(p, "a", time.Second).Err, io.ErrUnexpectedEOF)
	}), uint64(500_000))
}

// Guards against a late second copy of a response that is taken for the response
// to a later request with the same ID, which a client may repeat.
func TestLateCopyAndRequestWithTheSameID(t *testing.T) {
	var first net.Conn
	p, _ := serve(t, func(n int, id string, c net.Conn) bool {
		answers := []string{"first", "second", "third"}
		if n == 1 {
			first = c
		}
		if n == 3 && c == first {
			io.WriteString(c, response(id, "first"))
		}
		io.WriteString(c, response(id, answers[n-1]))
		return true
	})
	require.Equal(t, "first", string(do(p, "a", time.Second).Body.Bytes()))
	require.Equal(t, "second", string(do(p, "b", time.Second).Body.Bytes()))
	require.Equal(t, "third", string(do(p, "a", time.Second).Body.Bytes()))
}

// Guards against a late second copy of an earlier refusal that is taken for the
// answer to a request which the server runs: to one with the same ID, which a run
// that is repeated sends again, after any number of other requests, and to others.
func TestLateCopyOfRefusal(t *testing.T) {
	refusal := func(id string) string {
		return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n"
	}
	for others := range 20 {
		var first net.Conn
		p, _ := serve(t, func(n int, id string, c net.Conn) bool {
			switch {
			case n == 1:
				first = c
				io.WriteString(c, refusal(id))
				return true
			case n == others+2 && c == first:
				io.WriteString(c, refusal("a"))
			}
			io.WriteString(c, response(id, "run"))
			return true
		})
		require.True(t, do(p, "a", time.Second).NotRun)
		for i := range others {
			require.NoError(t, do(p, fmt.Sprint(i), time.Second).Err)
		}
		a := do(p, "a", time.Second)
		require.False(t, a.NotRun, "after %d others", others)
		require.Equal(t, "run", string(a.Body.Bytes()), "after %d others", others)
	}
	for copies := range 5 {
		p, _ := serve(t, func(n int, id string, c net.Conn) bool {
			if n == 1 {
				io.WriteString(c, refusal(id))
				return true
			}
			io.WriteString(c, strings.Repeat(refusal("a"), copies)+response(id, "run"))
			return true
		})
		require.True(t, do(p, "a", time.Second).NotRun)
		a := do(p, "b", time.Second)
		require.False(t, a.NotRun, "%d copies", copies)
		require.Equal(t, copies > 2, a.Err != nil, "%d copies", copies)
	}
}

// headers are complete header sections of a success, whose body may be empty.
var headers = []string{
	"HTTP/1.1 200 OK\r\nId: ID\r\nSeal: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nSeal: 1\r\nContent-Length: 1\r\nId: ID\r\n\r\n",
	"HTTP/1.1 200 OK\r\nId: ID\r\nSeal: 1\r\nConnection: close\r\n\r\n",
	"HTTP/1.1 200 OK\nId: ID\nSeal: 1\nContent-Length: 0\n\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nSeal: 1\r\n\r\n",
	"HTTP/1.1 204 No Content\r\nId: ID\r\nSeal: 1\r\n\r\n",
}

// Guards against a server that stops in the middle of its header section and closes,
// and a client that gets a success with an empty or short body, framed as whole.
func TestHeaderThatBreaksOff(t *testing.T) {
	for _, header := range headers {
		for end := range len(header) {
			part := header[:end]
			p, _ := serve(t, func(_ int, id string, c net.Conn) bool {
				io.WriteString(c, strings.ReplaceAll(part, "ID", id))
				return false
			})
			a := do(p, "ID", time.Second)
			require.Error(t, a.Err, "%q", part)
			require.True(t, a.Sent, "%q", part)
			require.False(t, a.NotRun, "%q", part)
			require.Nil(t, a.Body, "%q", part)
		}
	}
}

// Guards against a health check that passes because the server stopped in the middle
// of its header section.
func TestHealthCheckWhoseHeaderBreaksOff(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nInstance-Name: i-1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	for end := range len(header) {
		address := serveRaw(t, func(c net.Conn) { io.WriteString(c, header[:end]) })
		read := false
		err := upstream.CheckHealth(t.Context(), address, "/health", time.Second, func(*fasthttp.ResponseHeader) { read = true })
		require.Error(t, err, "%q", header[:end])
		require.False(t, read, "%q", header[:end])
	}
}

// Guards against a client that repeats one request ID and with it uses up the
// connections of the server, since no connection carries an ID twice.
func TestRepeatedIDKeepsConnectionsBounded(t *testing.T) {
	p, _ := serve(t, func(_ int, id string, c net.Conn) bool {
		io.WriteString(c, response(id, "body"))
		return true
	})
	for range 50 {
		require.NoError(t, do(p, "a", time.Second).Err)
	}
	require.Eventually(t, func() bool { open, _, _ := p.Stats(); return open <= 2 }, time.Second, 10*time.Millisecond)
}

// Guards against a response whose decoding panics and ends the process. It costs
// one request, whose outcome is unknown, and the connection.
func TestPanicInDecoding(t *testing.T) {
	p, conns := serve(t, func(n int, id string, c net.Conn) bool {
		if n == 1 {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nPanic: 1\r\nId: "+id+"\r\nSeal: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		io.WriteString(c, response(id, "body"))
		return true
	})
	a := do(p, "a", time.Second)
	var panicError *fault.PanicError
	require.ErrorAs(t, a.Err, &panicError)
	require.True(t, a.Sent)
	require.False(t, a.NotRun)
	require.Equal(t, "body", string(do(p, "b", time.Second).Body.Bytes()))
	require.Equal(t, int64(2), conns.Load())
}
