// Package node composes the decisions of one node: the caller side and the
// server side of calls, membership, declarations, ownership of idempotency
// keys, quotas and suspects.
//
// A Node is a pure state machine. Messages, results and the present time go
// in; actions, control messages, appends and reads of the log come out. It is
// the one package that a test bench has to adapt.
package node
