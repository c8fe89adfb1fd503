// Package reply defines the port through which the answer of a call flows
// back to the node that made the call.
package reply
