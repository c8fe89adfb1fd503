package upstream_test

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/lab/endless"
	"github.com/papayapath/papayapath/internal/upstream"
)

// Guards against a health check whose answer has no end, which is read for a second
// or kept, at the node of the faulty server.
func TestHealthCheckWithoutEnd(t *testing.T) {
	const (
		timeout = time.Second
		// maxAnswer is the bound of docs/limits.md for an answer with all that is
		// read beside its body.
		maxAnswer   = 5 << 20
		memoryLimit = 4 << 20
	)
	for name, stream := range endless.Answers("") {
		t.Run(name, func(t *testing.T) {
			s := serveEndless(t, stream)
			start := time.Now()
			memory := allocated(func() {
				_ = upstream.CheckHealth(t.Context(), s.Address(), "/health", timeout, func(*fasthttp.ResponseHeader) {})
			})
			took := time.Since(start)
			time.Sleep(20 * time.Millisecond)
			t.Logf("%d ms, %d KB sent, %d connections, %d KB allocated", took.Milliseconds(), s.Sent()>>10, s.Connections(), memory>>10)
			require.Less(t, took, timeout+500*time.Millisecond)
			require.LessOrEqual(t, s.Sent(), int64(maxAnswer+endless.KernelBytes))
			require.Equal(t, int64(1), s.Connections(), "the server is asked once")
			require.Less(t, memory, uint64(memoryLimit))
			require.Eventually(t, func() bool { return s.Closed() == 1 }, time.Second, 10*time.Millisecond)
		})
	}
}

// Guards against a health check that fails because the server closed a connection
// without an answer, as it does while it has too many.
func TestHealthCheckAfterClosedConnections(t *testing.T) {
	var connections atomic.Int64
	address := serveRaw(t, func(c net.Conn) {
		if connections.Add(1) == 5 {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	status := 0
	require.NoError(t, upstream.CheckHealth(t.Context(), address, "/health", time.Second, func(h *fasthttp.ResponseHeader) { status = h.StatusCode() }))
	require.Equal(t, fasthttp.StatusOK, status)
}
