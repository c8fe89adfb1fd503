// Package latency estimates the latency of a route and derives the time after
// which an answer is overdue.
package latency
