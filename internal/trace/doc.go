// Package trace records a span for each hop of a call.
package trace
