// Package stream defines the positions and records of a stream of the platform
// log, and the result of reading it.
package stream
