// Package figures computes the result of an experiment, as defined in section 11 of
// the design, from its history.
package figures
