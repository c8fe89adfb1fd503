// Package ledger keeps what an owner knows of idempotency keys: which are
// running, how the others ended, and the answers to give to a resend.
//
// A record is kept for the window of its key. A key whose record may already
// have been dropped is never taken for a new one.
package ledger
