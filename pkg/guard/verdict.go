package guard

import (
	"time"

	"github.com/papayapath/papayapath/pkg/ledger"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// Decision is what to do with an offer.
type Decision uint8

// Decisions, with the fields of Verdict that each one uses.
const (
	// Refuse answers with Verdict.Outcome and Verdict.Reason. Nothing of
	// this attempt reaches the backend server.
	//
	// NotRun says that the key has not run anywhere so far, with two
	// exceptions: under the reason Epoch it speaks of this attempt only, so
	// a caller that stops looking for the owner has to report the call as
	// unknown; under Conflict the key stands for another request.
	Refuse Decision = iota + 1
	// Run hands the call to the backend server with the deadline
	// Verdict.Latest. Verdict.Ticket goes into the report on its end.
	Run
	// Replay answers with Verdict.Answer and Verdict.Body, which are shared
	// and must not be changed.
	Replay
	// Wait holds the call until the running one with the same key has ended,
	// and then offers it again.
	Wait
)

// Verdict is the decision on one offer.
type Verdict struct {
	Decision Decision
	Outcome  outcome.Outcome
	Reason   outcome.Reason
	Epoch    uint64    // epoch of the owner table in force here, 0 if none is known
	Latest   time.Time // the backend server must refuse a write after this time
	Ticket   ledger.Ticket
	Answer   *message.Answer
	Body     []byte
}
