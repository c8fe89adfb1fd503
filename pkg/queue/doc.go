// Package queue implements a priority queue of calls with expiry times and
// eviction of the lowest priority.
package queue
