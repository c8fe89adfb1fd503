// Package ingress serves HTTP/1.1 to clients and to the node's own backend
// server. It notices when a client closes its connection while a request runs.
package ingress
