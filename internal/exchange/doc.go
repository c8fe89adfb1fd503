// Package exchange holds one call at the node where it was made, from its
// arrival until its answer has been passed on.
package exchange
