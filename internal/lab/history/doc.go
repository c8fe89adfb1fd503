// Package history records what backend servers ran and what callers were
// told, so that the checkers can compare the two.
package history
