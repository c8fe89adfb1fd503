// Package socket opens TCP connections that detect an unresponsive peer, and
// inspects the state of connections.
package socket
