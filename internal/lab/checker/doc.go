// Package checker compares what backend servers ran with what callers were
// told, and counts violations of the promises of section 2 of the design.
package checker
