// Package journal logs numbered events. Logging never blocks, and the rate and
// the buffered size of the log lines are bounded.
package journal
