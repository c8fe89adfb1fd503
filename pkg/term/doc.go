// Package term decides which node allocates a part of the customers' limits. The right
// is a lease, recorded in the platform log by conditional appends.
package term
