// Package loopback serves HTTP on loopback listeners until a context ends, and
// rejects all other addresses.
package loopback
