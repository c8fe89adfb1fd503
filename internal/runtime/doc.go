// Package runtime drives the decisions of a node with real sockets, timers and
// the platform log.
package runtime
