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
	"github.com/papayapath/papayapath/pkg/memory"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/registry"
)

// Guards against a message or body that extends into the next frame.
func TestConsecutiveFrames(t *testing.T) {
	o := frame.Offer{ID: 7, Request: "r", Service: "s", Wait: time.Second, Head: []byte("GET / HTTP/1.1\r\n")}
	data, err := frame.Append(nil, frame.KindOffer, &o, []byte("body"))
	require.NoError(t, err)
	data, err = frame.Append(data, frame.KindCancel, frame.Cancel{ID: 8}, nil)
	require.NoError(t, err)
	r := bufio.NewReader(bytes.NewReader(data))
	f, err := frame.Read(r, nil)
	require.NoError(t, err)
	require.Equal(t, frame.KindOffer, f.Kind)
	require.Equal(t, "body", string(f.Body.Bytes()))
	got, err := message.Decode[frame.Offer](f.Message)
	require.NoError(t, err)
	require.Equal(t, o, got)
	f, err = frame.Read(r, nil)
	require.NoError(t, err)
	require.Equal(t, frame.KindCancel, f.Kind)
	require.Empty(t, f.Body.Bytes())
	c, err := message.Decode[frame.Cancel](f.Message)
	require.NoError(t, err)
	require.Equal(t, uint64(8), c.ID)
}

// Guards against an outlook that is lost or damaged on its way, and against answers
// without one that differ from those of nodes that know none.
func TestOutlook(t *testing.T) {
	without := frame.Answer{ID: 7, Status: 200, Load: 3, Head: []byte{}, Notice: &frame.Notice{ID: "i-1"}}
	with := without
	with.Outlook = &frame.Outlook{Wait: time.Millisecond, ServiceTime: 57 * time.Millisecond, Slowdown: 2.5}
	for _, a := range []frame.Answer{without, with} {
		data, err := message.Encode(&a)
		require.NoError(t, err)
		got, err := message.Decode[frame.Answer](data)
		require.NoError(t, err)
		require.Equal(t, a, got)
	}
	data, err := message.Encode(&without)
	require.NoError(t, err)
	const fifteenFields = 0x9f
	require.Equal(t, byte(fifteenFields), data[0])
	data[0]++
	_, err = message.Decode[frame.Answer](data)
	require.Error(t, err, "the outlook is missing")
}

// Guards against an objective that is lost or damaged on its way, and against offers
// without one that differ from those of nodes that send none.
func TestObjective(t *testing.T) {
	without := frame.Offer{ID: 7, Request: "r", Wait: time.Second, Head: []byte{}, Credit: 2}
	with := without
	with.Objective = -3 * time.Millisecond
	for _, o := range []frame.Offer{without, with} {
		data, err := message.Encode(&o)
		require.NoError(t, err)
		got, err := message.Decode[frame.Offer](data)
		require.NoError(t, err)
		require.Equal(t, o, got)
	}
	data, err := message.Encode(&without)
	require.NoError(t, err)
	require.Equal(t, []byte{0xdc, 0, 17}, data[:3], "array of 17 fields")
	data[2]++
	_, err = message.Decode[frame.Offer](data)
	require.Error(t, err, "the objective is missing")
}

// Guards against lengths that make a node wait forever or exhaust its memory.
func TestInvalidLengths(t *testing.T) {
	for _, data := range [][]byte{
		{0, 0, 0, 1, 1},
		{0xff, 0xff, 0xff, 0xff, 1, 0, 0, 0, 0},
		{0, 0, 0, 6, 1, 0, 0, 0, 9, 0},
	} {
		_, err := frame.Read(bufio.NewReader(bytes.NewReader(data)), nil)
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
	_, err := frame.Read(bufio.NewReader(bytes.NewReader(data)), nil)
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
		_, err := frame.Read(bufio.NewReader(bytes.NewReader(data)), nil)
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
	f, err := frame.Read(bufio.NewReader(iotest.HalfReader(bytes.NewReader(data))), nil)
	require.NoError(t, err)
	require.Equal(t, frame.KindAnswer, f.Kind)
	require.True(t, bytes.Equal(body, f.Body.Bytes()))
}

// Guards against frames of several links that together exhaust the memory, and
// against a link that is unusable after one.
func TestFramesBeyondTheBudget(t *testing.T) {
	b := memory.New(1 << 20)
	data, err := frame.Append(nil, frame.KindOffer, &frame.Offer{ID: 7}, make([]byte, 2<<20))
	require.NoError(t, err)
	data, err = frame.Append(data, frame.KindEntries, frame.Entries{Entries: make([]registry.Entry, 50_000)}, nil)
	require.NoError(t, err)
	data, err = frame.Append(data, frame.KindAnswer, frame.Answer{ID: 8}, make([]byte, 100_000))
	require.NoError(t, err)
	r := bufio.NewReader(bytes.NewReader(data))
	f, err := frame.Read(r, b)
	require.NoError(t, err)
	require.True(t, f.Dropped)
	o, err := message.Decode[frame.Offer](f.Message)
	require.NoError(t, err)
	require.Equal(t, uint64(7), o.ID)
	f, err = frame.Read(r, b)
	require.NoError(t, err)
	require.True(t, f.Dropped)
	f, err = frame.Read(r, b)
	require.NoError(t, err)
	require.False(t, f.Dropped)
	require.Equal(t, 100_000, f.Body.Len())
	require.Greater(t, b.Stats().Used, int64(100_000))
	f.Body.Release()
	require.Zero(t, b.Stats().Used)
}

// Guards against a panic on malformed input from the network.
func FuzzRead(f *testing.F) {
	data, _ := frame.Append(nil, frame.KindAnswer, frame.Answer{ID: 1}, []byte("x"))
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		if len(data) > 2 && data[0] > 0 {
			return // a long frame would need more input than there is
		}
		read, err := frame.Read(bufio.NewReader(bytes.NewReader(data)), nil)
		if err == nil {
			message.Decode[frame.Answer](read.Message)  //nolint:errcheck // only a panic counts
			message.Decode[frame.Entries](read.Message) //nolint:errcheck // only a panic counts
		}
	})
}
