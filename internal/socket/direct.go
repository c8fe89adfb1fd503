package socket

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Direct returns a connection that reads and writes as conn does, for less processor
// time. Other connections than TCP ones are returned unchanged.
//
// A system call that could block is announced to the scheduler of the runtime, which
// wakes its monitor thread if the process was idle. The sockets of package net never
// block, and a process that handles few requests at a time is idle before each.
func Direct(conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return conn
	}
	c := &directConn{TCPConn: tcp, raw: raw}
	c.reading.try, c.writing.try = c.tryRead, c.tryWrite
	return c
}

// directConn is a connection whose system calls are not announced to the scheduler.
type directConn struct {
	*net.TCPConn
	raw     syscall.RawConn
	reading transfer
	writing transfer
}

// transfer is a read or write in progress. Its function is kept, so that no call
// allocates one.
type transfer struct {
	mu    sync.Mutex
	try   func(fd uintptr) bool
	data  []byte // to be written, or for what is read
	count int
	err   error
}

// run calls operate, which waits for the socket and calls t.try, and returns the
// result.
func (t *transfer) run(operate func(func(fd uintptr) bool) error, data []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data, t.count, t.err = data, 0, nil
	err := operate(t.try)
	if err == nil {
		err = t.err
	}
	t.data = nil
	return t.count, err
}

// Read implements net.Conn.
func (c *directConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, err := c.reading.run(c.raw.Read, p)
	if n == 0 && err == nil {
		err = io.EOF
	}
	return n, c.wrap("read", err)
}

// Write implements net.Conn.
func (c *directConn) Write(p []byte) (int, error) {
	n, err := c.writing.run(c.raw.Write, p)
	return n, c.wrap("write", err)
}

// wrap adds the addresses of the connection to the error of a system call.
func (c *directConn) wrap(operation string, err error) error {
	if errno, ok := err.(syscall.Errno); ok {
		return &net.OpError{
			Op: operation, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError(operation, errno),
		}
	}
	return err
}

func (c *directConn) tryRead(fd uintptr) bool {
	t := &c.reading
	var err error
	if t.count, err = ReadNow(fd, t.data); err == unix.EAGAIN {
		return false
	}
	t.err = err
	return true
}

func (c *directConn) tryWrite(fd uintptr) bool {
	t := &c.writing
	for t.count < len(t.data) {
		n, err := transferNow(unix.SYS_WRITE, fd, t.data[t.count:])
		if err == unix.EAGAIN {
			return false
		}
		if err != nil {
			t.err = err
			return true
		}
		t.count += n
	}
	return true
}

// ReadNow reads what has arrived at a socket that does not block, without telling the
// scheduler. The error is EAGAIN if there is nothing.
func ReadNow(fd uintptr, p []byte) (int, error) { return transferNow(unix.SYS_READ, fd, p) }

func transferNow(call, fd uintptr, p []byte) (int, error) {
	for {
		n, _, errno := unix.RawSyscall(call, fd, uintptr(unsafe.Pointer(unsafe.SliceData(p))), uintptr(len(p)))
		switch errno {
		case 0:
			return int(n), nil
		case unix.EINTR:
		default:
			return 0, errno
		}
	}
}
