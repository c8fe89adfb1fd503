package acceptor_test

import (
	"net/netip"
	"time"

	"github.com/papayapath/papayapath/pkg/acceptor"
	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/priority"
)

var (
	self  = instance.New(netip.MustParseAddrPort("127.0.0.1:7001"), 1)
	peer  = instance.New(netip.MustParseAddrPort("127.0.0.1:7002"), 1)
	start = time.Unix(1_700_000_000, 0)
)

// offerOf returns a repeatable call that is due after a second.
func offerOf(seq uint64, level importance.Level) *message.Offer {
	return &message.Offer{
		Call: message.CallID{Node: peer, Seq: seq}, Attempt: 1, Customer: "quimper",
		Service: "calendars", Method: "GET", Path: "/week", Content: seq,
		Priority: priority.Lowest(level), Repeatable: true, Remaining: time.Second,
		RetryBudget: 2, KeyAge: -1,
	}
}

// announced returns an acceptor with a backend server of one slot.
func announced(options ...acceptor.Option) *acceptor.Acceptor {
	a := acceptor.New(self, options...)
	a.Announce(start, "calendars", 1)
	return a
}

var complete = message.Answer{Outcome: outcome.Complete, Status: 200}

// answerTo returns the answer to a call among actions, or nil.
func answerTo(seq uint64, actions []action.Action) *message.Answer {
	for _, x := range actions {
		if x.Kind == action.Answer && x.Answer.Call.Seq == seq {
			return x.Answer
		}
	}
	return nil
}

// ran reports whether actions hand a call to the backend server.
func ran(seq uint64, actions []action.Action) bool {
	for _, x := range actions {
		if x.Kind == action.Run && x.Offer.Call.Seq == seq {
			return true
		}
	}
	return false
}
