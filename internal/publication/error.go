package publication

import "fmt"

// IncompleteError reports a log from which records were trimmed that no later
// snapshot replaces.
type IncompleteError struct{}

// Error says what can be done.
func (*IncompleteError) Error() string {
	return "the log lacks a part of the contracts in force; a running node appends them again within a minute"
}

// RejectedError reports a record that was appended and has no effect.
type RejectedError struct {
	record string
	cause  error
}

// Error names the record and the reason.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("record %s has no effect: %v", e.record, e.cause)
}

// Unwrap returns the reason, which is an error of package declarations.
func (e *RejectedError) Unwrap() error { return e.cause }

// UnknownError reports a record of which it is not known whether it was
// appended.
type UnknownError struct {
	record string
	cause  error
}

// Error names the record.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("it is not known whether record %s was appended: %v", e.record, e.cause)
}

// Unwrap returns the last error of the log.
func (e *UnknownError) Unwrap() error { return e.cause }

// Record returns the id by which the record can be found later.
func (e *UnknownError) Record() string { return e.record }
