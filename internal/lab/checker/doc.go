// Package checker compares the runs on backend servers with the outcomes that
// callers received, and counts violations of the guarantees in section 2 of
// the design.
package checker
