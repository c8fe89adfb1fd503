// Package routing finds the route of a request and the service that runs it.
package routing
