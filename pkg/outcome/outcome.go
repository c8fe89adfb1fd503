package outcome

import "fmt"

// Outcome is the known result of a call that has ended.
type Outcome uint8

// Outcomes. The zero value is Unknown, so that a missing field is never taken
// for a definite outcome.
const (
	// Unknown means that the call may or may not have run.
	Unknown Outcome = iota
	// NotRun means that the call is known not to have reached a backend server.
	NotRun
	// Complete means that the full response of the backend server was received.
	Complete
)

// String returns the value of the response header Papayapath-Outcome.
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

// Reason is the reason why a call did not complete.
type Reason uint8

// Reasons for a call that did not complete.
const (
	None        Reason = iota
	Overload           // the server has reached its concurrency limit with a full queue, or the call is below its threshold
	Draining           // the server is draining
	Unavailable        // no server of the service is reachable
	Expired            // the deadline passed or cannot be met
	Rate               // the request was repeated more often than its retries allow
	Forbidden          // the customer has no contract, or its contract does not include the call
	Malformed          // the request violates the protocol
	Conflict           // the idempotency key was used with another body or customer
	Stale              // the idempotency key is outside its window
	NoLease            // no owner of the key holds a lease
	Epoch              // the caller's owner table is not that of the owner
	Suspect            // the request is suspected of crashing backend servers
	Broken             // the connection failed or the response was truncated
	Crashed            // the backend server failed while it ran the call
	Canceled           // the caller canceled the call or disconnected
	Preempted          // a more important call took its slot
	TooLarge           // a body or header exceeds its limit
	InProgress         // a call with the same key is running and its outcome is not yet known
	Forgotten          // the key is older than the records of this owner
	Limited            // the server takes no more requests a second
	Memory             // the node has no memory for the request
	Budget             // the retry budget of a service does not cover the retries that are needed
	reasonCount
)

var reasons = [reasonCount]string{
	"none", "overload", "draining", "unavailable", "expired", "rate",
	"forbidden", "malformed", "conflict", "stale", "nolease", "epoch",
	"suspect", "broken", "crashed", "canceled", "preempted", "toolarge",
	"inprogress", "forgotten", "limited", "memory", "budget",
}

// String returns the value of the response header Papayapath-Reason.
func (r Reason) String() string {
	if r >= reasonCount {
		return fmt.Sprintf("reason(%d)", uint8(r))
	}
	return reasons[r]
}
