// Package server simulates a backend server. It has a limited number of slots
// and configurable run times, calls other services through its node, announces
// itself, drains, sheds load, honors deadlines and cancellation, and can be
// slowed, paused and crashed.
package server
