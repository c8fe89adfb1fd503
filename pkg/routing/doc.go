// Package routing maps requests to routes and services.
package routing
