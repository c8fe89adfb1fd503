// Package sidecar implements the node that runs beside a backend server. The node
// accepts client requests, offers them to nodes whose backend servers provide the
// requested service, and executes the offers of other nodes on the local backend
// server.
//
// A single mutex, Node.mu, guards the tables of a node. It must not be held while
// sending a frame, writing a request or reading a file. To keep the lock order,
// the locks of links, pools and clients are acquired either without Node.mu or
// after it, never before it.
package sidecar
