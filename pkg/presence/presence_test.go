package presence_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/presence"
)

var start = time.Unix(1000, 0)

func beat(id string, born, sequence int64, draining bool) presence.Heartbeat {
	return presence.Heartbeat{
		Incarnation: presence.Incarnation{ID: id, Born: born}, Sequence: sequence, Draining: draining, Slots: 4,
	}
}

// ready returns the presence of a server that takes requests.
func ready() *presence.Presence {
	p := &presence.Presence{}
	p.Beat(start, beat("s", 10, 1, false))
	p.Confirm("s", true)
	return p
}

// Guards against a node that was restarted in the middle of a drain and sends
// work to the leaving server because of an old heartbeat.
func TestFirstHeartbeatIsConfirmed(t *testing.T) {
	p := &presence.Presence{}
	require.True(t, p.Beat(start, beat("s", 10, 1, false)))
	require.Equal(t, presence.Absent, p.State())
	p.Confirm("s", false)
	require.Equal(t, presence.Absent, p.State())
	p.Confirm("other", true)
	require.Equal(t, presence.Absent, p.State())
	p.Confirm("s", true)
	require.Equal(t, presence.Ready, p.State())
}

// Guards against a sound server that stays unused because its health check
// fails.
func TestHeartbeatsInARowStandInForTheHealthCheck(t *testing.T) {
	p := &presence.Presence{}
	for i := range int64(2) {
		require.True(t, p.Beat(start, beat("s", 10, i+1, false)))
		p.Confirm("s", false)
	}
	require.False(t, p.Beat(start, beat("s", 10, 3, false)))
	require.Equal(t, presence.Ready, p.State())
}

// Guards against a late heartbeat that ends a drain.
func TestDrainIsFinal(t *testing.T) {
	p := ready()
	p.Beat(start, beat("s", 10, 5, true))
	require.Equal(t, presence.Draining, p.State())
	p.Beat(start, beat("s", 10, 4, false))
	p.Beat(start, beat("s", 10, 6, false))
	p.Confirm("s", true)
	require.Equal(t, presence.Draining, p.State())
}

// Guards against a server that leaves without ever having said so.
func TestDeregistrationDrains(t *testing.T) {
	p := ready()
	p.Leave("other")
	require.Equal(t, presence.Ready, p.State())
	p.Leave("s")
	require.Equal(t, presence.Draining, p.State())
}

// Guards against a heartbeat of an earlier incarnation, delayed by a partition,
// that replaces the server which runs now.
func TestOlderIncarnationIsIgnored(t *testing.T) {
	p := ready()
	p.Beat(start, beat("old", 9, 100, true))
	require.Equal(t, presence.Ready, p.State())
	require.Equal(t, "s", p.Last().ID)
	p.Beat(start, beat("s", 11, 0, false))
	require.Equal(t, presence.Absent, p.State())
	p.Confirm("s", true)
	require.Equal(t, presence.Ready, p.State())
}

// Guards against a restarted node that trusts its server although other nodes
// know that it is leaving.
func TestForbiddenIncarnationStaysOut(t *testing.T) {
	p := &presence.Presence{}
	p.Forbid(presence.Incarnation{ID: "s", Born: 10})
	p.Beat(start, beat("s", 10, 3, false))
	p.Confirm("s", true)
	require.Equal(t, presence.Absent, p.State())
	p.Beat(start, beat("s", 20, 1, false))
	p.Confirm("s", true)
	require.Equal(t, presence.Ready, p.State())
}

// Guards against requests for a server whose port no longer answers.
func TestRefusedConnectionTakesTheServerOut(t *testing.T) {
	p := ready()
	p.Failed(start)
	require.Equal(t, presence.Absent, p.State())
	require.True(t, p.Beat(start, beat("s", 10, 2, false)))
	p.Confirm("s", true)
	require.Equal(t, presence.Ready, p.State())
}
