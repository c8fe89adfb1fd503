// Package instance identifies the nodes of a mesh.
package instance
