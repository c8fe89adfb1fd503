package socket_test

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/socket"
)

// Guards against a connection that is read without an end, and against one that is
// closed although each of its messages is within the bound.
func TestBounded(t *testing.T) {
	const bound = 1000
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer inner.Close()
	ln := socket.Bounded(inner, bound)
	client, err := net.Dial("tcp4", ln.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	c, err := ln.Accept()
	require.NoError(t, err)
	defer c.Close()
	message := make([]byte, bound)
	for range 3 {
		_, err := client.Write(message)
		require.NoError(t, err)
		_, err = io.ReadFull(c, message)
		require.NoError(t, err)
		_, err = c.Write([]byte("answer"))
		require.NoError(t, err)
	}
	_, err = client.Write(make([]byte, bound+1))
	require.NoError(t, err)
	data, err := io.ReadAll(c)
	require.Len(t, data, bound)
	var exceeded *socket.BoundError
	require.ErrorAs(t, err, &exceeded)
}
