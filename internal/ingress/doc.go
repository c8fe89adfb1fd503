// Package ingress implements the HTTP/1.1 server for clients and for the node's
// own backend server. It detects a client that closes its connection while a
// request is being handled.
package ingress
