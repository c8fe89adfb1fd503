// Package framing reads responses and the bodies of requests in HTTP/1.1, within
// bounds on all that a sender can send. It checks that a header section states the
// length of the body in one way only.
package framing
