package socket

import (
	"net"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// IsClosedByPeer reports whether the peer has closed conn, or only its sending half,
// even if bytes that it sent before are unread. It is false for a connection without
// a descriptor.
func IsClosedByPeer(conn net.Conn) bool {
	return isReady(conn, unix.POLLRDHUP)
}

// IsQuiet reports whether conn is open and nothing has arrived that could be read, as
// on a connection between two exchanges. It is true for a connection without a
// descriptor.
func IsQuiet(conn net.Conn) bool { return !isReady(conn, unix.POLLIN|unix.POLLRDHUP) }

// isReady reports whether one of the events, or a failure, is pending on conn.
func isReady(conn net.Conn, events int16) bool {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	ready := false
	err = raw.Control(func(fd uintptr) { ready = poll(fd, events) })
	return ready || err != nil
}

// IsHungUp is like IsClosedByPeer, for a descriptor. It consumes no data.
func IsHungUp(fd uintptr) bool { return poll(fd, unix.POLLRDHUP) }

// poll reports whether one of the events, or a failure, is pending. Like the transfers
// of a directConn, it never blocks and is not announced to the scheduler.
func poll(fd uintptr, events int16) bool {
	p := unix.PollFd{Fd: int32(fd), Events: events}
	var timeout unix.Timespec
	for {
		n, _, errno := unix.RawSyscall6(unix.SYS_PPOLL, uintptr(unsafe.Pointer(&p)), 1, uintptr(unsafe.Pointer(&timeout)), 0, 0, 0)
		if errno == unix.EINTR {
			continue
		}
		return errno == 0 && n > 0 && p.Revents&(events|unix.POLLHUP|unix.POLLERR) != 0
	}
}
