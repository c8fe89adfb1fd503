// Package socket looks at the state of network connections.
package socket
