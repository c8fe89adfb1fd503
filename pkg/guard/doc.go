// Package guard decides whether a non-repeatable call may run on the node's
// own backend server, so that each idempotency key runs at most once.
//
// A Guard composes the owner table, the lease and the ledger of one service.
// It is a pure state machine: reads of the log, messages of other owners and
// offers go in, verdicts and effects come out. docs/atmostonce.md explains its
// rules and lists the failures that they cover.
package guard
