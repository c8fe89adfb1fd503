package payload_test

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/memory"
	"github.com/papayapath/papayapath/pkg/payload"
)

// content returns n bytes that differ from their neighbors.
func content(n int) []byte {
	data := make([]byte, n)
	for i := range data {
		data[i] = byte(i * 31 >> 3)
	}
	return data
}

// Guards against content that is damaged where two segments meet, and against a
// claim that differs from what is held.
func TestSegments(t *testing.T) {
	for _, size := range []int{0, 1, 4096, 4097, 65536, 65537, 3<<20 + 17} {
		data := content(size)
		b := memory.New(8 << 20)
		c := b.Claim(memory.Frame, memory.Fixed, nil)
		body, err := payload.Read(iotest.HalfReader(bytes.NewReader(data)), size, c)
		require.NoError(t, err)
		require.Equal(t, size, body.Len())
		require.True(t, bytes.Equal(data, body.Bytes()))
		require.Equal(t, int64(size), b.Stats().Used)
		body.Release()
		body, err = payload.ReadAll(iotest.DataErrReader(bytes.NewReader(data)), size, b.Claim(memory.Frame, memory.Endless, func() {}))
		require.NoError(t, err)
		require.True(t, bytes.Equal(data, body.Bytes()))
		require.GreaterOrEqual(t, b.Stats().Used, int64(size))
		body.Release()
		require.Zero(t, b.Stats().Used)
	}
}

// Guards against content that breaks off and is taken for whole, and against a claim
// that outlasts it.
func TestBrokenContent(t *testing.T) {
	b := memory.New(1 << 20)
	endless := func() *memory.Claim { return b.Claim(memory.Response, memory.Endless, func() {}) }
	_, err := payload.Read(bytes.NewReader(content(99)), 100, endless())
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, err = payload.ReadAll(io.MultiReader(bytes.NewReader(content(99)), iotest.ErrReader(io.ErrUnexpectedEOF)), 100, endless())
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, err = payload.ReadAll(bytes.NewReader(content(101)), 100, endless())
	require.ErrorIs(t, err, payload.ErrTooLarge)
	_, err = payload.ReadAll(bytes.NewReader(content(2<<20)), 4<<20, endless())
	var exhausted *memory.ExhaustedError
	require.ErrorAs(t, err, &exhausted)
	require.Zero(t, b.Stats().Used)
}

// Guards against a revoked claim that is reported as a fault of the connection.
func TestRevokedWhileReading(t *testing.T) {
	b := memory.New(1 << 20)
	r, w := io.Pipe()
	c := b.Claim(memory.Response, memory.Endless, func() { w.CloseWithError(io.ErrClosedPipe) })
	go func() {
		w.Write(content(100_000))
		b.Claim(memory.Frame, memory.Fixed, nil).Grow(1 << 20) //nolint:errcheck // shows in the revocation
	}()
	_, err := payload.ReadAll(r, 1<<20, c)
	var exhausted *memory.ExhaustedError
	require.ErrorAs(t, err, &exhausted)
}
