package link

import (
	"fmt"
	"time"

	"github.com/papayapath/papayapath/pkg/instance"
)

// SendError reports an exchange with another node that broke off.
type SendError struct {
	to    instance.ID
	sent  bool
	cause error
}

// Error names the node and the cause.
func (e *SendError) Error() string { return fmt.Sprintf("exchange with %s: %v", e.to, e.cause) }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.cause }

// Sent reports whether the other node may have received the whole offer. If
// not, it did not run the call.
func (e *SendError) Sent() bool { return e.sent }

// OpenError reports a socket that can't be opened.
type OpenError struct {
	address string
	cause   error
}

// Error names the address and the cause.
func (e *OpenError) Error() string { return fmt.Sprintf("open link on %s: %v", e.address, e.cause) }

// Unwrap returns the cause.
func (e *OpenError) Unwrap() error { return e.cause }

// HandshakeError reports a connection that was not open in time. Its handshake
// goes on.
type HandshakeError struct{ waited time.Duration }

// Error tells how long the connection was waited for.
func (e *HandshakeError) Error() string { return fmt.Sprintf("no connection after %s", e.waited) }
