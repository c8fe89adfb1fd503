package frame_test

import (
	"bytes"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/registry"
)

// checkMessage decodes a message as a node does, and encodes it again as one does that
// passes it on.
func checkMessage[T any](t *testing.T, data []byte) {
	v, err := message.Decode[T](data)
	if err != nil {
		var codec *message.CodecError
		require.ErrorAs(t, err, &codec)
		return
	}
	again, err := message.Encode(v)
	require.NoError(t, err)
	_, err = message.Decode[T](again)
	require.NoError(t, err)
}

// Guards against a message of another node that ends the process, whatever its kind,
// and against one that is decoded but cannot be passed on.
func FuzzMessages(f *testing.F) {
	add := func(data []byte, err error) {
		require.NoError(f, err)
		f.Add(data)
	}
	notice := &frame.Notice{ID: "i-1", Born: 7}
	add(message.Encode(&frame.Offer{ID: 1, Request: "r", Wait: time.Second, Head: []byte("GET / HTTP/1.1\r\n"), Notice: notice, Repeat: frame.Resent, Credit: 3}))
	add(message.Encode(&frame.Offer{ID: 1, Request: "r", Objective: -time.Second}))
	add(message.Encode(&frame.Answer{ID: 1, Outcome: outcome.Complete, Status: 200, HasFanout: true, Fanout: []frame.ServiceCalls{{Service: "s", Calls: 2}}, Notice: notice, Sheds: []frame.ServiceRate{{Service: "s", Rate: 0.5}}}))
	add(message.Encode(frame.Cancel{ID: 1, Queued: true}))
	add(message.Encode(frame.Entries{Entries: []registry.Entry{{Node: "10.0.0.1:7620", Incarnation: 4}}}))
	add(message.Encode(frame.Digest{Version: 3}))
	add(message.Encode(frame.Summary{Buckets: []uint64{1, 2}}))
	add(message.Encode(frame.Buckets{Buckets: []int{-1, 3}}))
	add(message.Encode(frame.Configuration{Version: 1}))
	add(message.Encode(frame.Ping{}))
	add(message.Encode(frame.Suspicions{Suspicions: []message.Suspicion{{Customer: "c", Crashes: []message.Crash{{ID: 1, TTL: -1}}}}}))
	for _, odd := range []string{"", "\xff", "\x81\x9b\xff\xff\xff\xff\xff\xff\xff\xff", "\x9f\xff", "\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81", "\x81\xc2\x4a\x01\x02", "\x81\xf6", "\x81\x81\xf6"} {
		f.Add([]byte(odd))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		checkMessage[frame.Offer](t, data)
		checkMessage[frame.Answer](t, data)
		checkMessage[frame.Cancel](t, data)
		checkMessage[frame.Entries](t, data)
		checkMessage[frame.Digest](t, data)
		checkMessage[frame.Summary](t, data)
		checkMessage[frame.Buckets](t, data)
		checkMessage[frame.Configuration](t, data)
		checkMessage[frame.Ping](t, data)
		checkMessage[frame.Suspicions](t, data)
		checkMessage[registry.Entry](t, data)
	})
}

// Guards against a short message whose decoded form takes the memory of a node: an
// entry of one byte takes as much as any.
func TestMemoryOfDecodedEntries(t *testing.T) {
	const (
		entries = 1 << 17 // an array has no more elements
		// memoryLimit is what the entries take that a registry keeps, 32,768.
		memoryLimit = 4 << 20
	)
	data := append([]byte{0x81, 0x9a, 0, 2, 0, 0}, bytes.Repeat([]byte{0xa0}, entries)...)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	e, err := message.Decode[frame.Entries](data)
	runtime.ReadMemStats(&after)
	t.Logf("%d KB become %d KB, %d entries, %v", len(data)>>10, (after.TotalAlloc-before.TotalAlloc)>>10, len(e.Entries), err)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(memoryLimit))
}
