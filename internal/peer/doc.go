// Package peer transports frames between nodes over one TCP connection to each
// other node, on which all offers and answers are multiplexed.
package peer
