// Package cursor holds the position of a reader in a log that may come back from
// an older copy.
package cursor
