// Package mesh runs the nodes of a deployment and the platform log in one
// process, connected by loopback sockets.
package mesh
