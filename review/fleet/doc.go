// Package fleet plays a small deployment of the node on loopback addresses: the node as
// a separate process, and stand-ins for the platform's store, the backend servers and
// the clients.
package fleet
