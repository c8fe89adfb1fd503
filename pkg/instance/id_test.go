package instance_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/instance"
)

// Guards against an ID that is altered by encoding and decoding.
func TestIDRoundTrip(t *testing.T) {
	for _, address := range []string{"127.0.0.1:80", "[::1]:65535", "10.1.2.3:0"} {
		id := instance.New(netip.MustParseAddrPort(address), 77)
		data, err := id.MarshalBinary()
		require.NoError(t, err)
		var got instance.ID
		require.NoError(t, got.UnmarshalBinary(data))
		require.Equal(t, id, got)
	}
}

// Guards against a panic on a corrupted message.
func TestIDRejectsCorruptedData(t *testing.T) {
	var id instance.ID
	for _, data := range [][]byte{nil, {1, 2}, make([]byte, 9), make([]byte, 200)} {
		var want *instance.EncodingError
		require.ErrorAs(t, id.UnmarshalBinary(data), &want)
	}
}

// Guards against treating an older incarnation at an address as the newer one.
func TestIDReplaces(t *testing.T) {
	a, b := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	require.True(t, instance.New(a, 2).Replaces(instance.New(a, 1)))
	require.False(t, instance.New(a, 1).Replaces(instance.New(a, 2)))
	require.False(t, instance.New(b, 2).Replaces(instance.New(a, 1)))
	require.Negative(t, instance.New(a, 1).Compare(instance.New(a, 2)))
}
