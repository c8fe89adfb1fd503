package socket

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// HasHungUp reports whether the peer of conn has closed the connection, or only its
// sending half, even if bytes that it sent before are unread. It is false for a
// connection without a descriptor.
func HasHungUp(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	hungUp := false
	err = raw.Control(func(fd uintptr) { hungUp = IsHungUp(fd) })
	return hungUp || err != nil // the connection has been closed here
}

// IsHungUp is like HasHungUp, for a descriptor.
func IsHungUp(fd uintptr) bool {
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	for {
		n, err := unix.Poll(p, 0)
		if err == unix.EINTR {
			continue
		}
		return err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	}
}
