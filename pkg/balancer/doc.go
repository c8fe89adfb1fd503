// Package balancer chooses a server of a service for each call.
package balancer
