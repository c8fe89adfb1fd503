package endless_test

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/lab/endless"
)

// Guards against tests of bounds that pass because the faulty process sends little,
// ends by itself, or takes an open connection for a closed one.
func TestSend(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	for _, isRead := range []bool{true, false} {
		c, err := net.Dial("tcp4", ln.Addr().String())
		require.NoError(t, err)
		accepted, err := ln.Accept()
		require.NoError(t, err)
		if isRead {
			go io.Copy(io.Discard, accepted) //nolint:errcheck // ends with the connection
		}
		var sent atomic.Int64
		require.False(t, endless.New("ID", "x").For("ID", "first").Send(c, time.Second, &sent))
		t.Logf("%d bytes", sent.Load())
		require.Equal(t, isRead, sent.Load() > endless.KernelBytes)
		results := make(chan bool)
		go func() { results <- endless.New("", "x").Send(c, 10*time.Second, &sent) }()
		accepted.Close()
		require.True(t, <-results)
		c.Close()
	}
}
