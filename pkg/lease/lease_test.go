package lease_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/lease"
)

var start = time.UnixMilli(1_800_000_000_000)

func id(port uint16) instance.ID {
	return instance.New(netip.AddrPortFrom(netip.IPv4Unspecified(), port), 1)
}

// Guards against a lease that counts from the arrival of a relayed read, or
// from an age by a clock that runs slow.
func TestRelayStart(t *testing.T) {
	require.Equal(t, start.Add(-1010*time.Millisecond), lease.RelayStart(start, time.Second))
	require.Equal(t, start, lease.RelayStart(start, -time.Second))
}

// Guards against a renewal by fewer than all other owners, by a stranger, for
// another epoch, or from the newest in place of the oldest request.
func TestPromises(t *testing.T) {
	var l lease.Lease
	l.Reset(5, []instance.ID{id(1), id(2)})
	l.Promise(5, id(1), start.Add(time.Second))
	l.Promise(5, id(3), start.Add(time.Second))
	l.Promise(4, id(2), start.Add(time.Second))
	require.True(t, l.Until().IsZero())
	l.Promise(5, id(2), start)
	require.Equal(t, start.Add(lease.Duration), l.Until())
	l.Promise(5, id(2), start.Add(-time.Second))
	require.Equal(t, start.Add(lease.Duration), l.Until())
	l.Alone(start.Add(time.Minute))
	require.Equal(t, start.Add(lease.Duration), l.Until())
}

// Guards against a lease that outlives its epoch.
func TestEpochEndsLease(t *testing.T) {
	var l lease.Lease
	l.Reset(5, nil)
	l.Read(5, start)
	require.True(t, l.Valid(start.Add(lease.Duration-1)))
	require.False(t, l.Valid(start.Add(lease.Duration)))
	l.Reset(6, nil)
	l.Read(5, start)
	require.False(t, l.Valid(start))
	l.Alone(start)
	require.True(t, l.Valid(start))
	l.End()
	require.False(t, l.Valid(start))
}
