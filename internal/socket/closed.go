package socket

import (
	"net"
	"syscall"
)

// IsClosedByPeer reports whether the other end has closed conn. It looks at the
// socket without taking data out of it, since the HTTP library does not watch
// a connection while a request is being handled. A client that closes only
// its sending half counts as gone.
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
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = (n == 0 && err == nil) || (err != nil && err != syscall.EAGAIN && err != syscall.EINTR)
		return true
	})
	return closed || err != nil
}
