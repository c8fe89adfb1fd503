// Package wire names the HTTP header fields that clients, nodes and backend
// servers of the lab exchange.
package wire
