package socket

import (
	"net"
	"syscall"
)

// IsClosedByPeer reports whether the peer has closed conn, or only its sending
// half. It peeks at the socket without consuming data, because fasthttp does not
// read from a connection while a request is being handled.
func IsClosedByPeer(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = (n == 0 && err == nil) || (err != nil && err != syscall.EAGAIN && err != syscall.EINTR)
		return true
	})
	return closed || err != nil
}
