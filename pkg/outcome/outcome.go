package outcome

import "fmt"

// Outcome says what is known of a call that has ended.
type Outcome uint8

// Outcomes. The zero value is Unknown, so that a missing field never claims
// more than is known.
const (
	// Unknown means that the call may or may not have run.
	Unknown Outcome = iota
	// NotRun means that the call was proved not to have reached a backend
	// server.
	NotRun
	// Complete means that the backend server answered and the answer is whole.
	Complete
)

// String returns the value of the answer header Papayapath-Outcome.
func (o Outcome) String() string {
	switch o {
	case Complete:
		return "complete"
	case NotRun:
		return "notrun"
	default:
		return "unknown"
	}
}

// Reason says why a call did not complete.
type Reason uint8

// Reasons for a call that did not complete.
const (
	None        Reason = iota
	Overload           // the server's limit and queue are full, or the call is below its threshold
	Draining           // the server is leaving
	Unavailable        // no server of the service can be reached
	Expired            // the deadline passed or can't be met
	Rate               // the customer is over its contracted rate
	Forbidden          // the customer has no contract or the contract has no such call
	Malformed          // the request breaks a rule of the protocol
	Conflict           // the idempotency key was used with another body or customer
	Stale              // the idempotency key is outside its window
	NoLease            // no owner of the key has the right to run
	Epoch              // the caller's owner table is not the owner's
	Suspect            // the request is suspected of crashing backend servers
	Broken             // the connection or the answer broke off
	Crashed            // the backend server failed while it ran the call
	Canceled           // the caller went away
	Preempted          // more important work took the place
	TooLarge           // a body or header is over its limit
	InProgress         // the same key is running and its outcome is not yet known
	Forgotten          // the key is older than this owner's records
	reasonCount
)

var reasons = [reasonCount]string{
	"none", "overload", "draining", "unavailable", "expired", "rate",
	"forbidden", "malformed", "conflict", "stale", "nolease", "epoch",
	"suspect", "broken", "crashed", "canceled", "preempted", "toolarge",
	"inprogress", "forgotten",
}

// String returns the value of the answer header Papayapath-Reason.
func (r Reason) String() string {
	if r >= reasonCount {
		return fmt.Sprintf("reason(%d)", uint8(r))
	}
	return reasons[r]
}
