package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsClosedByPeer reports whether the peer has closed conn, or only its sending half,
// even if bytes that it sent before are unread. It is false for a connection without
// a descriptor.
func IsClosedByPeer(conn net.Conn) bool {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	hungUp := false
	err = raw.Control(func(fd uintptr) { hungUp = IsHungUp(fd) })
	return hungUp || err != nil
}

// IsHungUp is like IsClosedByPeer, for a descriptor. It consumes no data.
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
