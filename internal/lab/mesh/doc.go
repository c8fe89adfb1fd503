// Package mesh runs the nodes of a deployment, with the platform log, in one
// process over loopback sockets.
package mesh
