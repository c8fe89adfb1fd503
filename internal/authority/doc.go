// Package authority issues certificates to nodes, for the demonstration, for
// tests and for operators without an authority of their own.
package authority
