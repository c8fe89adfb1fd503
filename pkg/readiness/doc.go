// Package readiness decides whether the local backend server accepts requests,
// based on its heartbeats and its health check.
package readiness
