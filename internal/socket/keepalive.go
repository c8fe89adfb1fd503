package socket

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a peer that
	// becomes unresponsive without a reset, after at most idle + count ×
	// interval.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// userTimeout bounds the time for which sent bytes may stay unacknowledged.
	userTimeout = 2 * time.Second
	// tcpUserTimeout is the option TCP_USER_TIMEOUT of Linux, which package
	// syscall does not define.
	tcpUserTimeout = 18
)

// Dial opens a TCP connection that fails within seconds if the peer becomes
// unresponsive.
func Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw) },
	}
	return d.DialContext(ctx, "tcp4", address)
}

// setUserTimeout bounds the time for which sent bytes may stay unacknowledged.
func setUserTimeout(raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Listen opens a TCP listener. With keepAlive, accepted connections fail within
// seconds if the peer becomes unresponsive; without it, keep-alive probes are
// disabled.
func Listen(ctx context.Context, address string, keepAlive bool) (net.Listener, error) {
	c := net.ListenConfig{KeepAlive: -1}
	if keepAlive {
		c = net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		}}
	}
	return c.Listen(ctx, "tcp4", address)
}
