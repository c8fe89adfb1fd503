package frame_test

import (
	"bufio"
	"bytes"
	"testing"
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
