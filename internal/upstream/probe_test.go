package upstream_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/upstream"
)

// Guards against a probe whose connection is lost, which the next request would have to
// open again, and against connections that are taken for older than they are.
func TestProbeKeepsItsConnection(t *testing.T) {
	p, conns := serve(t, func(_ int, id string, c net.Conn) bool {
		_, err := io.WriteString(c, response(id, "body"))
		return err == nil
	})
	before := time.Now()
	require.NoError(t, p.Probe(before))
	require.False(t, p.HasOlder(before))
	require.True(t, p.HasOlder(time.Now()))
	a := do(p, "1", time.Second)
	require.Equal(t, "body", string(a.Body.Bytes()))
	require.False(t, a.Opened.Before(before))
	require.Equal(t, int64(1), conns.Load())
}

// Guards against a probe that does not tell a closed port.
func TestProbeOfClosedPort(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	ln.Close()
	p := upstream.New(ln.Addr().String(), codec{}, 1<<20)
	require.ErrorIs(t, p.Probe(time.Now()), syscall.ECONNREFUSED)
	require.False(t, p.HasOlder(time.Now()))
}

// Guards against a connection that counts as open after the server has ended it, by which
// a crash would not be looked for.
func TestEndedConnectionsAreNotOlder(t *testing.T) {
	p, _ := serve(t, func(int, string, net.Conn) bool { return false })
	require.Error(t, do(p, "1", time.Second).Err)
	require.Eventually(t, func() bool { return !p.HasOlder(time.Now()) }, time.Second, time.Millisecond)
}
