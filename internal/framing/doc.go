// Package framing checks that the header section of an HTTP/1.1 message states
// the length of its body in one way only.
package framing
