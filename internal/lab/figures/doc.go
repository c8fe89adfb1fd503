// Package figures computes the figures of section 11 of the design from the
// history of one experiment.
package figures
