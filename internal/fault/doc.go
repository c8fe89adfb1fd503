// Package fault turns a panic while input is decoded into an error, so that a
// malformed message costs its request or connection and not the process.
package fault
