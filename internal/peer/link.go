package peer

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayapath/papayapath/pkg/frame"
)

const (
	// readBuffer is small since there is one for each pair of nodes.
	readBuffer = 4 << 10
	// writeTimeout bounds a write to a node that does not read.
	writeTimeout = 2 * time.Second
	// deadlineStep is how far a write deadline may lie beyond what is needed.
	// Each change of a deadline costs a timer, which can wake the process.
	deadlineStep = time.Second
	// keptBuffer is the largest write buffer that is kept between writes.
	keptBuffer = 16 << 10
)

// Link is one connection to another node. Its methods are safe for concurrent
// use.
type Link struct {
	conn     net.Conn
	address  string // of the other node; empty on an accepted connection
	received atomic.Uint64

	mu      sync.Mutex
	out     []byte // frames that wait to be written
	spare   []byte
	writing bool
	closed  bool
	until   time.Time // write deadline; belongs to the goroutine that writes
}

func newLink(conn net.Conn, address string) *Link { return &Link{conn: conn, address: address} }

// Address returns the address of the node to which the link was opened, or ""
// for a link that the other node opened.
func (l *Link) Address() string { return l.address }

// Send sends a message with its body. Frames of concurrent senders share a
// write. It returns false if nothing of the frame was sent; a frame that was
// accepted may still be lost, and then the link goes down.
func Send[T any](l *Link, kind frame.Kind, v T, body []byte) bool {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return false
	}
	out, err := frame.Append(l.out, kind, v, body)
	if err != nil {
		l.mu.Unlock()
		return false
	}
	l.out = out
	if l.writing {
		l.mu.Unlock()
		return true
	}
	l.writing = true
	l.flush()
	return true
}

// flush writes until nothing waits. It is called with the lock held and
// releases it.
func (l *Link) flush() {
	for len(l.out) > 0 && !l.closed {
		data := l.out
		l.out = l.spare[:0]
		l.spare = nil
		l.mu.Unlock()
		err := l.write(data)
		l.mu.Lock()
		if cap(data) <= keptBuffer {
			l.spare = data[:0]
		}
		if err != nil {
			l.writing, l.closed = false, true
			l.mu.Unlock()
			l.conn.Close() //nolint:errcheck // the reader reports the end of the link
			return
		}
	}
	l.writing = false
	l.mu.Unlock()
}

func (l *Link) write(data []byte) error {
	if needed := time.Now().Add(writeTimeout); needed.After(l.until) {
		l.until = needed.Add(deadlineStep)
		if err := l.conn.SetWriteDeadline(l.until); err != nil {
			return err
		}
	}
	_, err := l.conn.Write(data)
	return err
}

// Close closes the connection.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.conn.Close() //nolint:errcheck // nothing is left to be done with the connection
}

// read passes each frame to h until the connection ends.
func (l *Link) read(h Handler) error {
	r := bufio.NewReaderSize(l.conn, readBuffer)
	for {
		kind, head, body, err := frame.Read(r)
		if err != nil {
			return err
		}
		l.received.Add(1)
		h.HandleFrame(l, kind, head, body)
	}
}
