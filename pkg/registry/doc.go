// Package registry keeps what a node knows of the other nodes and of the
// backend servers beside them.
package registry
