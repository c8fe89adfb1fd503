// Package limits derives limits from contracts. docs/limits.md explains the
// formulas.
package limits
