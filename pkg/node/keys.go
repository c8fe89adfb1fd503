package node

import (
	"fmt"
	"time"

	"github.com/papayapath/papayapath/pkg/acceptor"
	"github.com/papayapath/papayapath/pkg/guard"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/ledger"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/stream"
)

// attemptID names one attempt of a call.
type attemptID struct {
	call    message.CallID
	attempt int
}

// keyGuard lets the acceptor ask the guard of the own service. Without a
// guard it refuses.
type keyGuard struct {
	self    instance.ID
	guard   *guard.Guard
	ledger  *ledger.Ledger
	tickets map[attemptID]ledger.Ticket
	body    []byte // body of the answer that is being concluded
	next    time.Time
}

func newKeyGuard(self instance.ID) *keyGuard {
	return &keyGuard{self: self, tickets: make(map[attemptID]ledger.Ticket)}
}

func (k *keyGuard) start(now time.Time, service string, members []instance.ID) {
	k.ledger = ledger.New()
	k.guard = guard.New(k.self, service, guard.WithLedger(k.ledger))
	k.guard.Members(now, members)
}

// setWindow makes the ledger keep records for the longest window of all
// contracts in force.
func (k *keyGuard) setWindow(now time.Time, d time.Duration) {
	if k.ledger != nil && d > 0 {
		k.ledger.SetWindow(now, d)
	}
}

// Admit asks the guard whether o may run now.
func (k *keyGuard) Admit(now time.Time, o *message.Offer) acceptor.GuardVerdict {
	if k.guard == nil {
		return acceptor.GuardVerdict{Outcome: outcome.NotRun, Reason: outcome.NoLease}
	}
	v := k.guard.Offer(now, o)
	switch v.Decision {
	case guard.Run:
		k.tickets[attemptID{o.Call, o.Attempt}] = v.Ticket
		o.Remaining = min(o.Remaining, v.Latest.Sub(now))
		return acceptor.GuardVerdict{Decision: acceptor.GuardRun}
	case guard.Replay:
		return acceptor.GuardVerdict{Decision: acceptor.GuardReplay, Answer: v.Answer, Body: v.Body}
	case guard.Wait:
		return acceptor.GuardVerdict{Decision: acceptor.GuardWait}
	default:
		return acceptor.GuardVerdict{Outcome: v.Outcome, Reason: v.Reason, Epoch: v.Epoch}
	}
}

// Finish tells the guard how a run ended.
func (k *keyGuard) Finish(now time.Time, o *message.Offer, a *message.Answer) {
	id := attemptID{o.Call, o.Attempt}
	ticket, ok := k.tickets[id]
	if !ok {
		return
	}
	delete(k.tickets, id)
	switch a.Outcome {
	case outcome.Complete:
		kept := *a
		k.guard.Done(now, ticket, &kept, k.body)
	case outcome.NotRun:
		k.guard.NotRun(now, ticket)
	default:
		k.guard.Unknown(now, ticket)
	}
}

// Fresh reports whether it is certain that the key of o has not run.
func (k *keyGuard) Fresh(now time.Time, o *message.Offer) bool {
	return k.guard != nil && k.guard.Check(now, o).Decision == guard.Run
}

func (k *keyGuard) setMembers(now time.Time, alive []instance.ID) {
	if k.guard != nil {
		k.guard.Members(now, alive)
	}
}

func (k *keyGuard) tick(now time.Time) []guard.Effect {
	if k.guard == nil || now.Before(k.next) {
		return nil
	}
	k.next = now.Add(guard.TickInterval)
	return k.guard.Tick(now)
}

func (k *keyGuard) read(now, started time.Time, from int64, b stream.Batch) {
	if k.guard != nil {
		k.guard.Read(now, started, ownerBatch(uint64(from), b))
	}
}

func (k *keyGuard) readFailed(now time.Time) {
	if k.guard != nil {
		k.guard.ReadFailed(now)
	}
}

func (k *keyGuard) appended(now time.Time, id string, result guard.Result) {
	if k.guard != nil {
		k.guard.AppendDone(now, id, result)
	}
}

func (k *keyGuard) epoch() uint64 {
	if k.guard == nil {
		return 0
	}
	_, epoch := k.guard.Owners()
	return epoch
}

func (k *keyGuard) describe() string {
	owners, epoch := k.guard.Owners()
	return fmt.Sprintf("%s epoch %d, %d owners", k.guard.Service(), epoch, owners.Len())
}
