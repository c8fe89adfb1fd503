// Package stream defines what a read of one stream of the platform log
// returns, for the decision code that consumes it.
package stream
