package server

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

// watchConnection cancels a run when its caller closes the connection, and
// returns a function that stops watching. fasthttp does not read from a
// connection while its handler runs.
func watchConnection(c net.Conn, cancel context.CancelFunc) (stop func()) {
	source, ok := c.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return func() {}
	}
	var group conc.WaitGroup
	group.Go(func() {
		_ = raw.Read(func(descriptor uintptr) bool { return peek(descriptor, cancel) })
	})
	return func() {
		// A read deadline in the past ends the pending read.
		_ = c.SetReadDeadline(time.Unix(1, 0))
		group.Wait()
		_ = c.SetReadDeadline(time.Time{})
	}
}

// peek reads the next byte without consuming it, and reports whether waiting
// can stop. An empty read or an error means that the connection is closed.
func peek(descriptor uintptr, cancel context.CancelFunc) bool {
	var next [1]byte
	n, _, err := syscall.Recvfrom(int(descriptor), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN, err == syscall.EINTR:
		return false
	case err != nil, n == 0:
		cancel()
	}
	return true
}
