package socket_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/socket"
)

// Guards against a kept connection that is used again although bytes have arrived on
// it that belong to no exchange, or the other end has closed it.
func TestIsQuiet(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	for _, end := range []func(c net.Conn){
		func(c net.Conn) { c.Write([]byte("x")) },
		func(c net.Conn) { c.Close() },
		func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
	} {
		c, err := net.Dial("tcp4", ln.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		other, err := ln.Accept()
		require.NoError(t, err)
		defer other.Close()
		require.True(t, socket.IsQuiet(c))
		end(other)
		require.Eventually(t, func() bool { return !socket.IsQuiet(c) }, time.Second, time.Millisecond)
	}
}
