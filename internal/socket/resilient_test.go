package socket_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/socket"
)

// failingListener fails the first accepts as the kernel does when the descriptors
// are used up.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a process that is alive and ready, but deaf, because one failed
// accept has ended its listener.
func TestAcceptAfterFailures(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	var reported []error
	r := socket.Resilient(&failingListener{Listener: ln, failures: 3}, func(err error) { reported = append(reported, err) })
	client, err := net.Dial("tcp4", ln.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	start := time.Now()
	conn, err := r.Accept()
	require.NoError(t, err)
	conn.Close()
	require.Len(t, reported, 3)
	require.ErrorIs(t, reported[0], syscall.EMFILE)
	require.GreaterOrEqual(t, time.Since(start), 35*time.Millisecond) // 5, 10 and 20 ms
	ln.Close()
	_, err = r.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}
