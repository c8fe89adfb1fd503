// Package edf implements a priority queue that serves the items of one level earliest
// deadline first.
package edf
