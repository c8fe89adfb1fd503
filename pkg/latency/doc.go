// Package latency learns how long the answers of a route take, to tell when one
// is overdue.
package latency
