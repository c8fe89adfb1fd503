// Package roster holds what a node knows of the backend servers that it can
// offer requests to, and chooses among them.
package roster
