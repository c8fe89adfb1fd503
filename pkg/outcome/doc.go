// Package outcome defines how a call can end.
package outcome
