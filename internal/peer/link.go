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
	// readBufferSize is small because each pair of nodes has its own buffer.
	readBufferSize = 4 << 10
	// writeTimeout bounds a write to a node that has stopped reading.
	writeTimeout = 2 * time.Second
	// writeDeadlineSlack is added to a write deadline so that it serves later
	// writes too. Each change of a deadline resets a timer, which can wake the
	// process.
	writeDeadlineSlack = time.Second
	// maxSpareBuffer is the capacity up to which a write buffer is reused.
	maxSpareBuffer = 16 << 10
)

// Link is a connection to another node. It is safe for concurrent use.
type Link struct {
	conn           net.Conn
	address        string // of the other node; empty for an accepted connection
	framesReceived atomic.Uint64
	traffic        *Traffic

	mu            sync.Mutex
	pending       []byte // encoded frames that are not yet written
	spare         []byte // buffer of an earlier write, for reuse
	flushing      bool
	closed        bool
	writeDeadline time.Time // accessed only by the flushing goroutine
}

func newLink(conn net.Conn, address string, t *Traffic) *Link {
	return &Link{conn: conn, address: address, traffic: t}
}

// Address returns the address that was dialed, or "" for a link that the other
// node opened.
func (l *Link) Address() string { return l.address }

// Send queues a message with its body and flushes the queue unless another
// sender is already doing so. It returns false if nothing of the frame was sent.
// A queued frame may still be lost, in which case the link fails.
func Send[T any](l *Link, kind frame.Kind, v T, body []byte) bool {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return false
	}
	pending, err := frame.Append(l.pending, kind, v, body)
	if err != nil {
		l.mu.Unlock()
		return false
	}
	l.traffic.add(kind, len(pending)-len(l.pending))
	l.pending = pending
	if l.flushing {
		l.mu.Unlock()
		return true
	}
	l.flushing = true
	l.flush()
	return true
}

// flush writes pending frames until none are left. The caller must hold l.mu;
// flush unlocks it.
func (l *Link) flush() {
	for len(l.pending) > 0 && !l.closed {
		batch := l.pending
		l.pending = l.spare[:0]
		l.spare = nil
		l.mu.Unlock()
		err := l.write(batch)
		l.mu.Lock()
		if cap(batch) <= maxSpareBuffer {
			l.spare = batch[:0]
		}
		if err != nil {
			l.flushing, l.closed = false, true
			l.mu.Unlock()
			l.conn.Close() //nolint:errcheck // readFrames reports the error
			return
		}
	}
	l.flushing = false
	l.mu.Unlock()
}

func (l *Link) write(data []byte) error {
	if required := time.Now().Add(writeTimeout); required.After(l.writeDeadline) {
		l.writeDeadline = required.Add(writeDeadlineSlack)
		if err := l.conn.SetWriteDeadline(l.writeDeadline); err != nil {
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
	l.conn.Close() //nolint:errcheck // the connection is discarded
}

// readFrames passes frames to h until reading fails, and returns the error.
func (l *Link) readFrames(h Handler) error {
	r := bufio.NewReaderSize(l.conn, readBufferSize)
	for {
		kind, head, body, err := frame.Read(r)
		if err != nil {
			return err
		}
		l.framesReceived.Add(1)
		h.HandleFrame(l, kind, head, body)
	}
}
