package socket

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// keepAliveIdle and keepAliveInterval find a connection that has fallen
	// silent without a reset: after idle + count x interval at the latest.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout = 2 * time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
	tcpUserTimeout = 18
)

// Dial opens a TCP connection that fails within seconds when the other end is
// silent.
func Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return limitSilence(raw) },
	}
	return d.DialContext(ctx, "tcp4", address)
}

// limitSilence bounds how long sent bytes may stay unacknowledged.
func limitSilence(raw syscall.RawConn) error {
	var fault error
	err := raw.Control(func(fd uintptr) {
		fault = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return fault
}

// Listen opens a TCP listener. With watched, accepted connections fail within
// seconds when the other end is silent.
func Listen(ctx context.Context, address string, watched bool) (net.Listener, error) {
	c := net.ListenConfig{KeepAlive: -1}
	if watched {
		c = net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		}}
	}
	return c.Listen(ctx, "tcp4", address)
}
