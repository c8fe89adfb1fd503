// Package allocator grants tokens for the requests of customers with a limit. A node
// grants those of the parts of the limits for which it holds the term.
package allocator
