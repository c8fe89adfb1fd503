// Package readiness decides whether the own backend server takes requests, from
// what the server says of itself and from its health check.
package readiness
