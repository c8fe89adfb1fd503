// Package waitlist holds the requests that wait for a place in an admission window.
package waitlist
