package acceptor

import (
	"time"

	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// Guard decides whether a call that must not run twice may run now.
type Guard interface {
	// Admit is asked when everything else allows o to be handed over.
	// o.Remaining is the deadline that is sent along. A verdict of GuardRun
	// obliges the guard to count the key as running until Finish.
	Admit(now time.Time, o *message.Offer) GuardVerdict
	// Finish says how the run ended that Admit allowed. It is called once
	// for each verdict of GuardRun.
	Finish(now time.Time, o *message.Offer, a *message.Answer)
	// Fresh reports whether it is certain that no earlier call with the key
	// of o has run. If it is not, a refusal of o is answered as unknown,
	// because "not run" would be read as a statement about the request.
	Fresh(now time.Time, o *message.Offer) bool
}

// GuardDecision is the kind of a GuardVerdict.
type GuardDecision uint8

// Decisions of a guard. The zero value refuses.
const (
	GuardRefuse GuardDecision = iota // answer with Outcome, Reason and Epoch
	GuardRun                         // hand the call over
	GuardReplay                      // give the stored Answer
	GuardWait                        // ask again when the run of the same key has ended
)

// GuardVerdict is what a guard decides about one call.
type GuardVerdict struct {
	Decision GuardDecision
	Outcome  outcome.Outcome // for GuardRefuse
	Reason   outcome.Reason  // for GuardRefuse
	Epoch    uint64          // newer owner table, if the guard knows one
	Answer   *message.Answer // for GuardReplay; call and attempt are filled in by the acceptor
	Body     []byte          // for GuardReplay; body of Answer
}
