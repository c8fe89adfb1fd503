package socket

import (
	"errors"
	"net"
	"time"
)

const (
	// minAcceptDelay and maxAcceptDelay bound the delay after a failed accept. The
	// delay doubles with each failure in a row.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 500 * time.Millisecond
)

// Resilient returns a listener that survives failures to accept a connection, for
// example because the descriptors are used up. It reports each failure and tries
// again after a delay. Its Accept fails only once the listener is closed.
func Resilient(ln net.Listener, report func(error)) net.Listener {
	return &resilientListener{Listener: ln, report: report}
}

type resilientListener struct {
	net.Listener
	report func(error)
}

// Accept implements net.Listener.
func (l *resilientListener) Accept() (net.Conn, error) {
	delay := minAcceptDelay
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.report(err)
		time.Sleep(delay)
		delay = min(2*delay, maxAcceptDelay)
	}
}
