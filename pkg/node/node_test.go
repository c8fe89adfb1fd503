package node_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/dispatcher"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/node"
	"github.com/papayapath/papayapath/pkg/outcome"
)

var (
	start = time.Unix(1_800_000_000, 0)
	self  = instance.New(netip.MustParseAddrPort("127.0.0.1:7000"), 1)
	peer  = instance.New(netip.MustParseAddrPort("127.0.0.1:7001"), 1)
)

// Guards against "not run" for a key that may have run through another node.
func TestUnready(t *testing.T) {
	require.Equal(t, outcome.NotRun, node.Unready(&dispatcher.Request{}).Outcome)
	require.Equal(t, outcome.Unknown, node.Unready(&dispatcher.Request{Key: "k"}).Outcome)
	require.False(t, node.New(self).Ready())
}

// Guards against members that change their service, which no other node would
// learn.
func TestAnnounceOfAnotherService(t *testing.T) {
	n := node.New(self)
	var out node.Output
	require.NoError(t, n.Announce(start, "proofs", "127.0.0.1:1", 4, &out))
	require.Len(t, out.Appends, 1)
	var want *node.ServiceError
	require.ErrorAs(t, n.Announce(start, "calendars", "127.0.0.1:1", 4, &out), &want)
}

// offer returns a repeatable call of the peer.
func offer(seq uint64) *message.Offer {
	return &message.Offer{
		Call: message.CallID{Node: peer, Seq: seq}, Attempt: 1, Service: "proofs", Method: "GET", Path: "/files",
		Repeatable: true, Remaining: time.Second, RetryBudget: 2,
	}
}

// Guards against a run that keeps the part of its retry budget that it did not
// use, and against answers of a silent backend server's node that are missing.
func TestRunAndLossOfBackend(t *testing.T) {
	n := node.New(self)
	var out node.Output
	require.NoError(t, n.Announce(start, "proofs", "127.0.0.1:1", 4, &out))
	out.Reset()
	n.Offer(start, peer, offer(1), &out)
	n.Offer(start, peer, offer(2), &out)
	require.Len(t, out.Actions, 2)
	require.Equal(t, action.Run, out.Actions[0].Kind)
	out.Reset()
	n.Done(start, offer(1).Call, 1, message.Answer{Outcome: outcome.Complete, Status: 200}, nil, &out)
	require.Equal(t, 2, out.Actions[0].Answer.UnusedRetries)
	out.Reset()
	n.Tick(start.Add(2*time.Second), &out) // no heartbeat for 2 s
	var ends []outcome.Outcome
	for _, a := range out.Actions {
		if a.Kind == action.Answer {
			ends = append(ends, a.Answer.Outcome)
		}
	}
	require.Equal(t, []outcome.Outcome{outcome.Unknown}, ends)
}

// Guards against a node that goes on giving work to its own leaving server
// until the others have heard of it.
func TestDrainIsInForceAtOnce(t *testing.T) {
	n := node.New(self)
	var out node.Output
	require.NoError(t, n.Announce(start, "proofs", "127.0.0.1:1", 4, &out))
	n.Offer(start, peer, offer(1), &out)
	n.Drain(start, &out)
	out.Reset()
	n.Offer(start, peer, offer(2), &out)
	require.Len(t, out.Actions, 1)
	require.Equal(t, outcome.NotRun, out.Actions[0].Answer.Outcome)
	require.Equal(t, outcome.Draining, out.Actions[0].Answer.Reason)
	require.False(t, n.Drained())
}
