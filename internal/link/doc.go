// Package link carries messages between nodes over QUIC: one connection per
// pair of nodes, one stream per call, and a datagram or a stream of its own
// for each control message.
package link
