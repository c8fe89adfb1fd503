// Package peer carries frames between nodes: one TCP connection to each other
// node, over which offers and their answers are multiplexed.
package peer
