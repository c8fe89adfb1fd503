package guard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/papayapath/papayapath/pkg/guard"
	"github.com/papayapath/papayapath/pkg/ledger"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/ownership"
)

// benchRecords is the number of records in the ledger in the steady state.
const benchRecords = 1 << 16

// bench is a guard in the steady state: for each key that enters the ledger
// one leaves it, and the lease is renewed as often as a healthy log allows.
type bench struct {
	guard  *guard.Guard
	now    time.Time
	read   time.Time
	empty  ownership.Batch
	offers []message.Offer
	next   int
	answer message.Answer
}

func newBench(size int) *bench {
	w := newWorld(1, size)
	n := w.nodes[0]
	s := &bench{now: origin}
	s.guard = guard.New(n.id, service, guard.WithIssueTime(func(key string) (time.Time, bool) {
		_, ok := message.IssueTime(key)
		return s.now, ok
	}))
	w.land(w.record("", "first", ownership.Base(1), n, w.nodes...))
	s.guard.Read(s.now, s.now, w.log.batch(0, 1))
	s.empty = w.log.batch(1, 1)
	for len(s.offers) < 2*benchRecords {
		key := uuid.Must(uuid.NewV7()).String()
		if owner, _, _ := s.guard.Owner(key); owner == n.id {
			s.offers = append(s.offers, message.Offer{Key: key, Customer: "giza", Content: 1, Remaining: time.Second})
		}
	}
	s.now = s.now.Add(time.Minute)
	for range 4 * benchRecords {
		s.call()
	}
	return s
}

func (s *bench) call() guard.Decision {
	s.now = s.now.Add(ledger.DefaultWindow / benchRecords)
	if s.now.Sub(s.read) > time.Second {
		s.read = s.now
		s.guard.Read(s.now, s.now, s.empty)
	}
	offer := &s.offers[s.next%len(s.offers)]
	s.next++
	v := s.guard.Offer(s.now, offer)
	s.guard.Done(s.now, v.Ticket, &s.answer, nil)
	return v.Decision
}

// BenchmarkOffer measures the decision on a new key and the report on its end.
func BenchmarkOffer(b *testing.B) {
	for _, size := range []int{1, 4, 16, ownership.MaxOwners} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			s := newBench(size)
			b.ReportAllocs()
			for b.Loop() {
				if d := s.call(); d != guard.Run {
					b.Fatal("not run: ", d)
				}
			}
		})
	}
}

// BenchmarkReplay measures the decision on a resend of a finished key.
func BenchmarkReplay(b *testing.B) {
	s := newBench(4)
	s.answer.Outcome = outcome.Complete
	offer := &s.offers[(s.next-1)%len(s.offers)]
	b.ReportAllocs()
	for b.Loop() {
		if v := s.guard.Offer(s.now, offer); v.Decision != guard.Replay {
			b.Fatal("no replay: ", v.Decision)
		}
	}
}

// Guards against an allocation on the path of a call.
func TestOfferDoesNotAllocate(t *testing.T) {
	s := newBench(4)
	if n := testing.AllocsPerRun(10000, func() { s.call() }); n > 0 {
		t.Fatalf("%v allocations a call", n)
	}
}
