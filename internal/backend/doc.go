// Package backend sends calls to the node's own backend server.
package backend
