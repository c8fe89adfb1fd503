package socket_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/socket"
)

// pair returns the two ends of a connection, the first one direct.
func pair(t *testing.T) (direct net.Conn, other *net.TCPConn) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	c, err := net.Dial("tcp4", ln.Addr().String())
	require.NoError(t, err)
	accepted, err := ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { c.Close(); accepted.Close() })
	return socket.Direct(c), accepted.(*net.TCPConn)
}

// Guards against bytes that are lost or repeated by a reader or writer that has to
// wait in between.
func TestDirectTransfersAll(t *testing.T) {
	direct, other := pair(t)
	data := make([]byte, 8<<20)
	for i := range data {
		data[i] = byte(i * i >> 7)
	}
	go func() {
		direct.Write(data)
		direct.(interface{ CloseWrite() error }).CloseWrite()
	}()
	time.Sleep(50 * time.Millisecond)
	received, err := io.ReadAll(other)
	require.NoError(t, err)
	require.True(t, bytes.Equal(data, received))
	go func() {
		other.Write(data)
		other.CloseWrite()
	}()
	received, err = io.ReadAll(direct)
	require.NoError(t, err)
	require.True(t, bytes.Equal(data, received))
}

// Guards against several buffers that are written in as many system calls.
func TestDirectWritesBuffersAtOnce(t *testing.T) {
	direct, other := pair(t)
	buffers := net.Buffers{[]byte("ab"), []byte("cd")}
	n, err := buffers.WriteTo(direct)
	require.NoError(t, err)
	require.EqualValues(t, 4, n)
	p := make([]byte, 8)
	k, err := other.Read(p)
	require.NoError(t, err)
	require.Equal(t, "abcd", string(p[:k]))
}

// Guards against a wait that its deadline or the end of the connection does not end,
// and against errors that do not say which of them it was.
func TestDirectWaitEnds(t *testing.T) {
	p := make([]byte, 8)
	t.Run("deadline", func(t *testing.T) {
		direct, _ := pair(t)
		require.NoError(t, direct.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
		_, err := direct.Read(p)
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		var timeout net.Error
		require.True(t, errors.As(err, &timeout) && timeout.Timeout())
		require.NoError(t, direct.SetWriteDeadline(time.Now().Add(20*time.Millisecond)))
		_, err = direct.Write(make([]byte, 64<<20))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	})
	t.Run("close", func(t *testing.T) {
		direct, _ := pair(t)
		time.AfterFunc(20*time.Millisecond, func() { direct.Close() })
		_, err := direct.Read(p)
		require.ErrorIs(t, err, net.ErrClosed)
	})
	t.Run("end", func(t *testing.T) {
		direct, other := pair(t)
		other.Close()
		_, err := direct.Read(p)
		require.ErrorIs(t, err, io.EOF)
	})
	t.Run("reset", func(t *testing.T) {
		direct, other := pair(t)
		require.NoError(t, other.SetLinger(0))
		other.Close()
		_, err := direct.Read(p)
		require.ErrorIs(t, err, syscall.ECONNRESET)
		var reset net.Error
		require.True(t, errors.As(err, &reset) && !reset.Timeout())
		_, err = direct.Write(p)
		require.Error(t, err)
	})
}

// Guards against a connection that allocates for each read or write.
func TestDirectAllocatesNothing(t *testing.T) {
	direct, other := pair(t)
	p := make([]byte, 8)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		direct.Write(p)
		other.Read(p)
		other.Write(p)
		direct.Read(p)
	}))
}
