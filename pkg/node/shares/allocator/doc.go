// Package allocator divides the rate of a customer among the nodes at which
// the customer is active.
package allocator
