package message_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

func sampleOffer() message.Offer {
	id := instance.New(netip.MustParseAddrPort("127.0.0.1:7000"), 3)
	return message.Offer{
		Call: message.CallID{Node: id, Seq: 9}, Attempt: 2, Root: "r1", Customer: "quimper",
		Service: "calendars", Method: "GET", Path: "/week?n=2",
		Header: []message.Field{{Name: "Accept", Value: "*/*"}},
		Length: 12, Digest: 99, Content: 7, Priority: 300, Repeatable: true,
		Remaining: 700 * time.Millisecond, RetryBudget: 1, KeyAge: -1,
		Trace: message.Trace{Trace: [16]byte{1}, Span: [8]byte{2}, Flags: 1},
	}
}

// Guards against a field that is lost in encoding and decoding.
func TestCodecRoundTrip(t *testing.T) {
	offer := sampleOffer()
	data, err := message.Encode(offer)
	require.NoError(t, err)
	got, err := message.Decode[message.Offer](data)
	require.NoError(t, err)
	require.Equal(t, offer, got)
}

// Guards against decoding an empty message as a completed call.
func TestDecodeOfEmptyAnswerIsUnknown(t *testing.T) {
	data, err := message.Encode(map[int]int{})
	require.NoError(t, err)
	got, err := message.Decode[message.Answer](data)
	require.NoError(t, err)
	require.Equal(t, outcome.Unknown, got.Outcome)
}

// Guards against a panic or an unbounded allocation on malformed input.
func FuzzDecode(f *testing.F) {
	data, err := message.Encode(sampleOffer())
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		offer, err := message.Decode[message.Offer](data)
		if err != nil {
			var want *message.CodecError
			require.ErrorAs(t, err, &want)
			return
		}
		_, err = message.Encode(offer)
		require.NoError(t, err)
	})
}

// Guards against generated keys whose time of issue owners cannot read.
func TestKeyAtHoldsItsTime(t *testing.T) {
	issued := time.UnixMilli(1_790_000_000_123)
	key := message.KeyAt(issued, []byte("a"))
	got, ok := message.IssueTime(key)
	require.True(t, ok)
	require.True(t, issued.Equal(got))
	require.Equal(t, key, message.KeyAt(issued, []byte("a")))
	require.NotEqual(t, key, message.KeyAt(issued, []byte("b")))
}
