// Package loopback serves HTTP on loopback listeners until a context ends.
package loopback
