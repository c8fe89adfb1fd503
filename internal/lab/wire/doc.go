// Package wire defines the HTTP header fields that the lab's clients, nodes
// and backend servers exchange.
package wire
