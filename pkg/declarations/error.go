package declarations

import (
	"fmt"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/stream"
)

// ConflictError reports a change that lost because another change of the same
// customer comes earlier in the log and was not known to its operator.
type ConflictError struct {
	customer string
	winner   string
	operator string
	position stream.Position
}

// Error names the customer and the change that won.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict on customer %s: record %s of %s at version %s won", e.customer, e.winner, e.operator, e.position)
}

// Customer returns the customer that both changes touch.
func (e *ConflictError) Customer() string { return e.customer }

// Winner returns the id of the record that won.
func (e *ConflictError) Winner() string { return e.winner }

// Operator returns who published the record that won.
func (e *ConflictError) Operator() string { return e.operator }

// Position returns the version at which the winner came into force.
func (e *ConflictError) Position() stream.Position { return e.position }

// StaleError reports a change made from a version whose conflicts can't be
// told: one that is too old, or one that the log lacks since it was replaced.
type StaleError struct{ base stream.Position }

// Error names the version and the distance that is allowed.
func (e *StaleError) Error() string {
	return fmt.Sprintf("version %s, from which the change was made, is more than %d records old or not in this log", e.base, horizon)
}

// RecordError reports a record that breaks a rule and has no effect.
type RecordError struct {
	reason string
	cause  error
}

// Error names the broken rule.
func (e *RecordError) Error() string {
	if e.cause == nil {
		return "record is not valid: " + e.reason
	}
	return fmt.Sprintf("record is not valid: %s: %v", e.reason, e.cause)
}

// Unwrap returns the error of the decoder or checker, if any.
func (e *RecordError) Unwrap() error { return e.cause }

// RegressionError reports a log whose generation or end went back. Contracts
// in force stay as they are.
type RegressionError struct{ seen, end stream.Position }

// Error names the version that was read and the end that the log now claims.
func (e *RegressionError) Error() string {
	return fmt.Sprintf("log ends at %s, before version %s that was already read", e.end, e.seen)
}

// DivergenceError reports a peer that has other contracts in force at the
// same version.
type DivergenceError struct {
	peer    instance.ID
	version stream.Position
}

// Error names the peer and the version.
func (e *DivergenceError) Error() string {
	return fmt.Sprintf("peer %s has other contracts at version %s", e.peer, e.version)
}
