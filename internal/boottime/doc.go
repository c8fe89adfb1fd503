// Package boottime reads a clock that also counts the time for which the machine or the
// process is suspended.
package boottime
