// Package gateway serves HTTP to callers and to the node's own backend server.
package gateway
