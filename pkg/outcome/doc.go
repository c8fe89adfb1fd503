// Package outcome defines the possible outcomes of a call.
package outcome
