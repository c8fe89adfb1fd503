package upstream_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/framing"
	"github.com/papayapath/papayapath/internal/upstream"
)

// invalidStarts are what a server in trouble sends in place of a status line.
var invalidStarts = []string{
	"HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 -200 OK", "HTTP/1.1 abc OK",
	"HTTP/1.1  200 OK", "HTTP/1.1 ", "HTTP/1.1", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/2.0 200 OK", "HTTP/1.1 101 Switching Protocols",
	"HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK",
}

// invalidFields are header fields by which a response would be the expected one, signed,
// and the proof that the request has not run.
const invalidFields = "\r\nId: ID\r\nSeal: 1\r\nNot-Run: 1\r\nContent-Length: 3\r\n\r\nabc"

// Guards against a response whose status is none, and that is passed on, proves that the
// request has not run, or leaves the connection in use.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, start := range invalidStarts {
		for _, headOnly := range []bool{false, true} {
			p, conns := serve(t, func(n int, id string, c net.Conn) bool {
				if n == 1 {
					io.WriteString(c, strings.ReplaceAll(start+invalidFields, "ID", id))
				} else {
					io.WriteString(c, response(id, "body"))
				}
				return true
			})
			results := make(chan *upstream.Answer, 2)
			p.Start(time.Now(), &upstream.Request{
				ID: "a", Raw: []byte("GET / HTTP/1.1\r\nHost: a\r\nId: a\r\n\r\n"), Timeout: time.Second, HeadOnly: headOnly,
			}, func(a *upstream.Answer) { results <- a })
			a := <-results
			var e *framing.Error
			require.ErrorAs(t, a.Err, &e, start)
			require.True(t, a.Sent, start)
			require.False(t, a.NotRun, start)
			require.Zero(t, a.Status, start)
			require.Nil(t, a.Body, start)
			require.Equal(t, "body", string(do(p, "b", time.Second).Body.Bytes()), start)
			require.Equal(t, int64(2), conns.Load(), start)
		}
	}
}

// Guards against an interim response that is the whole answer, or that proves that the
// request has not run.
func TestInterimResponseIsNoAnswer(t *testing.T) {
	for name, response := range map[string]string{
		"no body": "HTTP/1.1 100 Continue\r\nId: ID\r\nSeal: 1\r\nNot-Run: 1\r\n\r\n",
		"body":    "HTTP/1.1 199 X" + invalidFields,
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			a := do(rawPool(t, response, ""), "ID", time.Second)
			require.Error(t, a.Err)
			require.True(t, a.Sent)
			require.False(t, a.NotRun)
		})
	}
}

// Guards against a request that is sent again though it may have run: its response is
// invalid, or a success, and says beside that that it has not.
func TestContradictoryRefusal(t *testing.T) {
	for name, response := range map[string]string{
		"success":        "HTTP/1.1 200 OK" + invalidFields,
		"without body":   "HTTP/1.1 204 No Content\r\nId: ID\r\nSeal: 1\r\nNot-Run: 1\r\n\r\n",
		"redirection":    "HTTP/1.1 302 Found" + invalidFields,
		"content coding": "HTTP/1.1 503 Busy\r\nContent-Encoding: gzip" + invalidFields,
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			a := do(rawPool(t, response, ""), "ID", time.Second)
			require.Error(t, a.Err)
			require.True(t, a.Sent)
			require.False(t, a.NotRun)
			require.Nil(t, a.Body)
		})
	}
	for _, status := range []string{"503 Busy", "429 Too Many Requests", "421 Misdirected Request", "500 X"} {
		a := do(rawPool(t, "HTTP/1.1 "+status+invalidFields, ""), "ID", time.Second)
		require.NoError(t, a.Err)
		require.True(t, a.NotRun, status)
	}
}

// Guards against a health check that passes with a status that is none.
func TestHealthCheckWithInvalidStatus(t *testing.T) {
	for _, start := range invalidStarts {
		address := serveRaw(t, func(c net.Conn) { io.WriteString(c, start+invalidFields) })
		read := false
		err := upstream.CheckHealth(t.Context(), address, "/health", time.Second, func(*fasthttp.ResponseHeader) { read = true })
		var e *framing.Error
		require.ErrorAs(t, err, &e, start)
		require.False(t, read, start)
	}
}
