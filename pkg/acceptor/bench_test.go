package acceptor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayapath/papayapath/pkg/acceptor"
	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/message"
)

// recycle plays the adapter that has sent the answers.
func recycle(a *acceptor.Acceptor, actions []action.Action) {
	for _, x := range actions {
		if x.Answer != nil {
			a.Recycle(x.Answer)
		}
	}
}

// BenchmarkOfferDone measures a call that runs at once, and its end, beside
// other running calls.
func BenchmarkOfferDone(b *testing.B) {
	for _, running := range []int{0, 40, 270} {
		b.Run(fmt.Sprint(running), func(b *testing.B) {
			a, now, out := busy(running)
			o := *offerOf(1<<40, importance.Normal)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				o.Call.Seq++
				o.Remaining = time.Second
				out = a.Offer(now, peer, &o, out[:0])
				out = a.Done(now, o.Call, 1, complete, out)
				recycle(a, out)
			}
		})
	}
}

// BenchmarkOfferUnderLoad measures an offer to a full server, which queues it
// and evicts another one.
func BenchmarkOfferUnderLoad(b *testing.B) {
	for _, running := range []int{40, 270} {
		b.Run(fmt.Sprint(running), func(b *testing.B) {
			a, now, out := busy(running)
			a.Announce(now, "calendars", running)
			offers := make([]message.Offer, 4096)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				o := &offers[i%len(offers)]
				*o = message.Offer{
					Call: message.CallID{Node: peer, Seq: uint64(1<<41 + i)}, Attempt: 1, Service: "calendars",
					Method: "GET", Path: "/week", Priority: 512, Repeatable: true, Remaining: time.Hour, KeyAge: -1,
				}
				now = now.Add(time.Microsecond)
				out = a.Offer(now, peer, o, out[:0])
				recycle(a, out)
			}
		})
	}
}

// busy returns an acceptor with calls that run for the whole benchmark.
func busy(running int) (*acceptor.Acceptor, time.Time, []action.Action) {
	a := acceptor.New(self)
	a.Announce(start, "calendars", 1000)
	now := start
	var out []action.Action
	seq := uint64(0)
	for a.Stats().Limit() < running+8 {
		first := seq
		for range a.Stats().Limit() {
			seq++
			out = a.Offer(now, peer, offerOf(seq, importance.Normal), out[:0])
		}
		now = now.Add(50 * time.Millisecond)
		for first < seq {
			first++
			out = a.Done(now, call(first), 1, complete, out[:0])
		}
	}
	for range running {
		seq++
		o := offerOf(seq, importance.High)
		o.Remaining = 1000 * time.Hour
		out = a.Offer(now, peer, o, out[:0])
	}
	return a, now, out
}
