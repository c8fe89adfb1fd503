package frame_test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"runtime"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/message"
)

// Guards against a message or body that extends into the next frame.
func TestConsecutiveFrames(t *testing.T) {
	o := frame.Offer{ID: 7, Request: "r", Service: "s", Wait: time.Second, Head: []byte("GET / HTTP/1.1\r\n")}
	data, err := frame.Append(nil, frame.KindOffer, &o, []byte("body"))
	require.NoError(t, err)
	data, err = frame.Append(data, frame.KindCancel, frame.Cancel{ID: 8}, nil)
	require.NoError(t, err)
	r := bufio.NewReader(bytes.NewReader(data))
	kind, encoded, body, err := frame.Read(r)
	require.NoError(t, err)
	require.Equal(t, frame.KindOffer, kind)
	require.Equal(t, "body", string(body))
	got, err := message.Decode[frame.Offer](encoded)
	require.NoError(t, err)
	require.Equal(t, o, got)
	kind, encoded, body, err = frame.Read(r)
	require.NoError(t, err)
	require.Equal(t, frame.KindCancel, kind)
	require.Empty(t, body)
	c, err := message.Decode[frame.Cancel](encoded)
	require.NoError(t, err)
	require.Equal(t, uint64(8), c.ID)
}

// Guards against lengths that make a node wait forever or exhaust its memory.
func TestInvalidLengths(t *testing.T) {
	for _, data := range [][]byte{
		{0, 0, 0, 1, 1},
		{0xff, 0xff, 0xff, 0xff, 1, 0, 0, 0, 0},
		{0, 0, 0, 6, 1, 0, 0, 0, 9, 0},
	} {
		_, _, _, err := frame.Read(bufio.NewReader(bytes.NewReader(data)))
		var sizeErr *frame.SizeError
		require.ErrorAs(t, err, &sizeErr)
	}
}

// Guards against memory allocated for an announced length whose content never
// arrives. An instance may have 184 MB, and each node has a link to it.
func TestAnnouncedLengthAllocatesNothing(t *testing.T) {
	data := binary.BigEndian.AppendUint32(nil, frame.MaxBytes)
	data = append(data, byte(frame.KindOffer), 0, 0, 0, 1)
	data = append(data, make([]byte, 1000)...)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, _, _, err := frame.Read(bufio.NewReader(bytes.NewReader(data)))
	runtime.ReadMemStats(&after)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(1<<20))
}

// Guards against a frame without a body that is as long as one with a body.
func TestLengthLimitOfKind(t *testing.T) {
	for kind, valid := range map[frame.Kind]bool{
		frame.KindOffer: true, frame.KindAnswer: true, frame.KindConfiguration: true,
		frame.KindEntries: false, frame.KindPing: false, frame.KindSummary: false,
	} {
		data := binary.BigEndian.AppendUint32(nil, 5<<20)
		data = append(data, byte(kind), 0, 0, 0, 1)
		_, _, _, err := frame.Read(bufio.NewReader(bytes.NewReader(data)))
		var size *frame.SizeError
		require.Equal(t, valid, !errors.As(err, &size), kind.String())
	}
}

// Guards against a long frame that is damaged when its buffer grows.
func TestLongFrame(t *testing.T) {
	body := make([]byte, 3<<20+17)
	for i := range body {
		body[i] = byte(i * 31 >> 3)
	}
	data, err := frame.Append(nil, frame.KindAnswer, frame.Answer{ID: 9}, body)
	require.NoError(t, err)
	kind, _, got, err := frame.Read(bufio.NewReader(iotest.HalfReader(bytes.NewReader(data))))
	require.NoError(t, err)
	require.Equal(t, frame.KindAnswer, kind)
	require.True(t, bytes.Equal(body, got))
}

// Guards against a panic on malformed input from the network.
func FuzzRead(f *testing.F) {
	data, _ := frame.Append(nil, frame.KindAnswer, frame.Answer{ID: 1}, []byte("x"))
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		if len(data) > 2 && data[0] > 0 {
			return // a long frame would need more input than there is
		}
		_, encoded, _, err := frame.Read(bufio.NewReader(bytes.NewReader(data)))
		if err == nil {
			message.Decode[frame.Answer](encoded)  //nolint:errcheck // only a panic counts
			message.Decode[frame.Entries](encoded) //nolint:errcheck // only a panic counts
		}
	})
}
