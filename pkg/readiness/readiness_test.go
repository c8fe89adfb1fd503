package readiness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/readiness"
)

var start = time.Unix(1000, 0)

func heartbeat(id string, born, sequence int64, draining bool) readiness.Heartbeat {
	return readiness.Heartbeat{
		Incarnation: readiness.Incarnation{ID: id, Born: born}, Sequence: sequence, Draining: draining, Slots: 4,
	}
}

// ready returns the tracker of a server that accepts requests.
func ready() *readiness.Tracker {
	tr := &readiness.Tracker{}
	tr.Observe(start, heartbeat("s", 10, 1, false))
	tr.RecordHealthCheck("s", true)
	return tr
}

// Guards against a node that restarts during a drain and sends requests to the
// leaving server because of an old heartbeat.
func TestFirstHeartbeatNeedsHealthCheck(t *testing.T) {
	tr := &readiness.Tracker{}
	require.True(t, tr.Observe(start, heartbeat("s", 10, 1, false)))
	require.Equal(t, readiness.Absent, tr.State())
	tr.RecordHealthCheck("s", false)
	require.Equal(t, readiness.Absent, tr.State())
	tr.RecordHealthCheck("other", true)
	require.Equal(t, readiness.Absent, tr.State())
	tr.RecordHealthCheck("s", true)
	require.Equal(t, readiness.Ready, tr.State())
}

// Guards against a healthy server that stays unused because its health check
// fails.
func TestConsecutiveHeartbeatsOverrideHealthCheck(t *testing.T) {
	tr := &readiness.Tracker{}
	for i := range int64(2) {
		require.True(t, tr.Observe(start, heartbeat("s", 10, i+1, false)))
		tr.RecordHealthCheck("s", false)
	}
	require.False(t, tr.Observe(start, heartbeat("s", 10, 3, false)))
	require.Equal(t, readiness.Ready, tr.State())
}

// Guards against a drain that is missed because a heartbeat with a higher sequence number
// came before it.
func TestDrainCountsWhenLate(t *testing.T) {
	tr := ready()
	tr.Observe(start, heartbeat("s", 10, 100_000, false))
	tr.Observe(start, heartbeat("s", 10, 2, true))
	require.Equal(t, readiness.Draining, tr.State())
	tr.Observe(start, heartbeat("s", 10, 100_001, false))
	require.Equal(t, readiness.Draining, tr.State())
}

// Guards against a delayed heartbeat that ends a drain.
func TestDrainIsFinal(t *testing.T) {
	tr := ready()
	tr.Observe(start, heartbeat("s", 10, 5, true))
	require.Equal(t, readiness.Draining, tr.State())
	tr.Observe(start, heartbeat("s", 10, 4, false))
	tr.Observe(start, heartbeat("s", 10, 6, false))
	tr.RecordHealthCheck("s", true)
	require.Equal(t, readiness.Draining, tr.State())
}

// Guards against a server that deregisters without a draining heartbeat and
// still receives requests.
func TestDeregistrationDrains(t *testing.T) {
	tr := ready()
	tr.Deregister(start, "other")
	require.Equal(t, readiness.Ready, tr.State())
	tr.Deregister(start, "s")
	require.Equal(t, readiness.Draining, tr.State())
}

// Guards against a heartbeat of an earlier incarnation, delayed by a partition,
// that replaces the running server.
func TestOlderIncarnationIsIgnored(t *testing.T) {
	tr := ready()
	tr.Observe(start, heartbeat("old", 9, 100, true))
	require.Equal(t, readiness.Ready, tr.State())
	require.Equal(t, "s", tr.Last().ID)
	tr.Observe(start, heartbeat("s", 11, 0, false))
	require.Equal(t, readiness.Absent, tr.State())
	tr.RecordHealthCheck("s", true)
	require.Equal(t, readiness.Ready, tr.State())
}

// Guards against a restarted node that sends requests to its server although
// other nodes know that the server is leaving.
func TestLeavingIncarnationStaysAbsent(t *testing.T) {
	tr := &readiness.Tracker{}
	tr.MarkLeaving(readiness.Incarnation{ID: "s", Born: 10})
	tr.Observe(start, heartbeat("s", 10, 3, false))
	tr.RecordHealthCheck("s", true)
	require.Equal(t, readiness.Absent, tr.State())
	tr.Observe(start, heartbeat("s", 20, 1, false))
	tr.RecordHealthCheck("s", true)
	require.Equal(t, readiness.Ready, tr.State())
}

// Guards against requests to a server that refuses connections.
func TestRefusedConnectionMakesTheServerAbsent(t *testing.T) {
	tr := ready()
	tr.ConnectionRefused(start)
	require.Equal(t, readiness.Absent, tr.State())
	require.True(t, tr.Observe(start, heartbeat("s", 10, 2, false)))
	tr.RecordHealthCheck("s", true)
	require.Equal(t, readiness.Ready, tr.State())
}

// Guards against a server that is used again because its deregistration reached a
// restarted node before the heartbeats that were sent earlier.
func TestDeregistrationBeforeHeartbeats(t *testing.T) {
	born := start.Add(-time.Second).UnixMilli()
	for name, tr := range map[string]*readiness.Tracker{"restarted node": {}, "server before": ready()} {
		tr.Deregister(start, "left")
		for i := range int64(5) {
			require.False(t, tr.Observe(start, heartbeat("left", born, i+1, false)), name)
			tr.RecordHealthCheck("left", true)
		}
		require.False(t, tr.State() == readiness.Ready && tr.Last().ID == "left", name)
		again := heartbeat("left", start.Add(3*time.Second).UnixMilli(), 1, false)
		require.True(t, tr.Observe(start.Add(4*time.Second), again), name)
		tr.RecordHealthCheck("left", true)
		require.Equal(t, readiness.Ready, tr.State(), "a later start under the same ID, %s", name)
	}
}
