// Package registry holds the known state of the nodes of a mesh and of their
// backend servers.
package registry
