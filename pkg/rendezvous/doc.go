// Package rendezvous ranks nodes for the parts of a task, so that all nodes that know the
// same candidates agree without a message.
package rendezvous
