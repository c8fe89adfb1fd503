// Package signals separates the signals that stop a process from those that have it
// reload its settings, so that none of the former is lost.
package signals
