// Package server is a stand-in for a backend server: it has slots and run
// times, calls further services through its node, announces itself, drains,
// sheds, accepts deadlines and cancellation, and can be slowed, paused and
// crashed.
package server
