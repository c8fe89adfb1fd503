package readiness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/readiness"
)

var start = time.Unix(1000, 0)

func beat(id string, born, sequence int64, draining bool) readiness.Heartbeat {
	return readiness.Heartbeat{
		Incarnation: readiness.Incarnation{ID: id, Born: born}, Sequence: sequence, Draining: draining, Slots: 4,
	}
}

// ready returns the readiness of a server that takes requests.
func ready() *readiness.Tracker {
	p := &readiness.Tracker{}
	p.Observe(start, beat("s", 10, 1, false))
	p.RecordHealthCheck("s", true)
	return p
}

// Guards against a node that was restarted in the middle of a drain and sends
// work to the leaving server because of an old heartbeat.
func TestFirstHeartbeatIsConfirmed(t *testing.T) {
	p := &readiness.Tracker{}
	require.True(t, p.Observe(start, beat("s", 10, 1, false)))
	require.Equal(t, readiness.Absent, p.State())
	p.RecordHealthCheck("s", false)
	require.Equal(t, readiness.Absent, p.State())
	p.RecordHealthCheck("other", true)
	require.Equal(t, readiness.Absent, p.State())
	p.RecordHealthCheck("s", true)
	require.Equal(t, readiness.Ready, p.State())
}

// Guards against a sound server that stays unused because its health check
// fails.
func TestHeartbeatsInARowStandInForTheHealthCheck(t *testing.T) {
	p := &readiness.Tracker{}
	for i := range int64(2) {
		require.True(t, p.Observe(start, beat("s", 10, i+1, false)))
		p.RecordHealthCheck("s", false)
	}
	require.False(t, p.Observe(start, beat("s", 10, 3, false)))
	require.Equal(t, readiness.Ready, p.State())
}

// Guards against a late heartbeat that ends a drain.
func TestDrainIsFinal(t *testing.T) {
	p := ready()
	p.Observe(start, beat("s", 10, 5, true))
	require.Equal(t, readiness.Draining, p.State())
	p.Observe(start, beat("s", 10, 4, false))
	p.Observe(start, beat("s", 10, 6, false))
	p.RecordHealthCheck("s", true)
	require.Equal(t, readiness.Draining, p.State())
}

// Guards against a server that leaves without ever having said so.
func TestDeregistrationDrains(t *testing.T) {
	p := ready()
	p.Deregister("other")
	require.Equal(t, readiness.Ready, p.State())
	p.Deregister("s")
	require.Equal(t, readiness.Draining, p.State())
}

// Guards against a heartbeat of an earlier incarnation, delayed by a partition,
// that replaces the server which runs now.
func TestOlderIncarnationIsIgnored(t *testing.T) {
	p := ready()
	p.Observe(start, beat("old", 9, 100, true))
	require.Equal(t, readiness.Ready, p.State())
	require.Equal(t, "s", p.Last().ID)
	p.Observe(start, beat("s", 11, 0, false))
	require.Equal(t, readiness.Absent, p.State())
	p.RecordHealthCheck("s", true)
	require.Equal(t, readiness.Ready, p.State())
}

// Guards against a restarted node that trusts its server although other nodes
// know that it is leaving.
func TestForbiddenIncarnationStaysOut(t *testing.T) {
	p := &readiness.Tracker{}
	p.MarkLeaving(readiness.Incarnation{ID: "s", Born: 10})
	p.Observe(start, beat("s", 10, 3, false))
	p.RecordHealthCheck("s", true)
	require.Equal(t, readiness.Absent, p.State())
	p.Observe(start, beat("s", 20, 1, false))
	p.RecordHealthCheck("s", true)
	require.Equal(t, readiness.Ready, p.State())
}

// Guards against requests for a server whose port no longer answers.
func TestRefusedConnectionTakesTheServerOut(t *testing.T) {
	p := ready()
	p.ConnectionRefused(start)
	require.Equal(t, readiness.Absent, p.State())
	require.True(t, p.Observe(start, beat("s", 10, 2, false)))
	p.RecordHealthCheck("s", true)
	require.Equal(t, readiness.Ready, p.State())
}
