// Package ownership maps idempotency keys to the instances that own them.
//
// A Table is built from the records of the log stream "owners" alone, in log
// order, so every instance that has read as far computes the same owners. It
// is used by owners and, read-only, by the caller side of any node.
package ownership
