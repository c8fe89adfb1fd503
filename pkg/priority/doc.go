// Package priority defines the priority of requests in admission control.
package priority
