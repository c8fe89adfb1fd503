// Package limiter implements an adaptive concurrency limit for a backend
// server.
package limiter
