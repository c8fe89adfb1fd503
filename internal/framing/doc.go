// Package framing reads the body of an HTTP/1.1 message, and checks that the header
// section states the length of the body in one way only.
package framing
