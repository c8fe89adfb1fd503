package peer

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayapath/papayapath/internal/socket"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/memory"
	"github.com/papayapath/papayapath/pkg/payload"
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
	// maxSpareBuffer is the capacity up to which a write buffer is reused, and up
	// to which pending frames need no claim on memory.
	maxSpareBuffer = 16 << 10
	// maxCopiedBody is the size up to which a body is copied into the write
	// buffer. Larger ones are written from where they are.
	maxCopiedBody = 8 << 10
	// maxWrite is the size of a write. Each has its own deadline, so that a large
	// body may take longer than writeTimeout.
	maxWrite = 1 << 20
	// minReportedBytes is the number of bytes read from which a link that is read
	// without a pause is reported to be read. Frames that arrive at once cost nothing.
	minReportedBytes = 64 << 10
)

// Link is a connection to another node. It is safe for concurrent use.
type Link struct {
	conn     net.Conn
	address  string        // of the other node; empty for an accepted connection
	progress atomic.Uint64 // reads, and writes of large bodies
	traffic  *Traffic
	budget   *memory.Budget // nil if there is none
	// lastCheck is accessed only by Mesh.check.
	lastCheck check

	mu            sync.Mutex
	pending       batch  // frames that are not yet written
	spare         []byte // buffer of an earlier write, for reuse
	flushing      bool
	closed        bool
	ended         bool      // nothing more is sent, but what the other node sends is read
	writeDeadline time.Time // accessed only by the flushing goroutine
}

// batch is a sequence of encoded frames.
type batch struct {
	data   []byte        // without the large bodies
	bodies []insertion   // large bodies, each of which the batch retains
	claim  *memory.Claim // for the data, if it is large
}

// insertion is a body that belongs before data[at:] of a batch.
type insertion struct {
	at   int
	body *payload.Body
}

// pieces returns what is to be written, in writes of about maxWrite bytes.
func (b *batch) pieces() [][]byte {
	var all [][]byte
	start := 0
	for _, i := range b.bodies {
		all = append(append(all, b.data[start:i.at]), i.body.Segments()...)
		start = i.at
	}
	return append(all, b.data[start:])
}

// release ends the use of the bodies and of the claim.
func (b *batch) release() {
	for _, i := range b.bodies {
		i.body.Release()
	}
	b.claim.Release()
}

func newLink(conn net.Conn, address string, t *Traffic, b *memory.Budget) *Link {
	return &Link{conn: socket.Direct(conn), address: address, traffic: t, budget: b}
}

// Address returns the address that was dialed, or "" for a link that the other
// node opened.
func (l *Link) Address() string { return l.address }

// Send queues a message with its body and flushes the queue unless another
// sender is already doing so. It returns false if nothing of the frame was sent,
// because the link is closed or there is no memory for the queue. A queued frame
// may still be lost, in which case the link fails. The link retains a large body
// until it has been written.
func Send[T any](l *Link, kind frame.Kind, v T, body *payload.Body) bool {
	l.mu.Lock()
	if l.closed || l.ended {
		isEnded := !l.closed
		l.mu.Unlock()
		// The end of the link answers for what is not sent.
		return isEnded
	}
	before := len(l.pending.data)
	data, err := frame.AppendWithoutBody(l.pending.data, kind, v, body.Len())
	if err != nil {
		l.mu.Unlock()
		return false
	}
	return l.queue(kind, data, before, body)
}

// Broadcast sends a message without a body over several links. It is encoded once. Like a
// message that Send refuses, one for which a link has no memory is not sent over it.
func Broadcast[T any](links []*Link, kind frame.Kind, v T) {
	encoded, err := frame.Append(nil, kind, v, nil)
	if err != nil {
		return // as in Send, nothing is sent
	}
	for _, l := range links {
		l.mu.Lock()
		if l.closed || l.ended {
			l.mu.Unlock()
			continue
		}
		before := len(l.pending.data)
		l.queue(kind, append(l.pending.data, encoded...), before, nil)
	}
}

// queue replaces the pending data, which grows from before, by data and flushes it
// unless another sender is already doing so. The body follows. It returns false if there
// is no memory. The caller must hold l.mu; queue unlocks it.
func (l *Link) queue(kind frame.Kind, data []byte, before int, body *payload.Body) bool {
	isCopied := body.Len() <= maxCopiedBody
	if isCopied {
		data = body.AppendTo(data)
	}
	if !l.claimQueue(kind, before, len(data)) {
		l.mu.Unlock()
		return false
	}
	l.pending.data = data
	if !isCopied {
		body.Retain()
		l.pending.bodies = append(l.pending.bodies, insertion{at: len(data), body: body})
	}
	size := len(data) - before
	if !isCopied {
		size += body.Len()
	}
	l.traffic.addFrame(kind, size)
	if l.flushing {
		l.mu.Unlock()
		return true
	}
	l.flushing = true
	l.flush()
	return true
}

// Join has the frames that send sends over the link written together.
func (l *Link) Join(send func()) {
	l.mu.Lock()
	if l.flushing || l.closed {
		l.mu.Unlock()
		send()
		return
	}
	l.flushing = true
	l.mu.Unlock()
	send()
	l.mu.Lock()
	l.flush()
}

// claimQueue claims memory for pending frames whose size grows from before to
// after. A withdrawal always gets it: it is small, there is at most one for each
// offer, and without it the other node would go on with the request. The caller must
// hold l.mu.
func (l *Link) claimQueue(kind frame.Kind, before, after int) bool {
	if after <= maxSpareBuffer {
		return true
	}
	if l.pending.claim == nil {
		l.pending.claim = l.budget.Claim(memory.Queue, memory.Fixed, nil)
		before = 0
	}
	if kind == frame.KindCancel {
		l.pending.claim.Force(after - before)
		return true
	}
	return l.pending.claim.Grow(after-before) == nil
}

// flush writes pending frames until none are left. The caller must hold l.mu;
// flush unlocks it.
func (l *Link) flush() {
	for len(l.pending.data) > 0 && !l.closed {
		current := l.pending
		l.pending = batch{data: l.spare[:0]}
		l.spare = nil
		l.mu.Unlock()
		err := l.write(&current)
		current.release()
		l.mu.Lock()
		if cap(current.data) <= maxSpareBuffer {
			l.spare = current.data[:0]
		}
		if err != nil {
			l.closed = true
			l.conn.Close() //nolint:errcheck // readFrames reports the error
		}
	}
	if l.closed {
		l.pending.release()
		l.pending = batch{}
	}
	l.flushing = false
	l.mu.Unlock()
}

// write writes a batch.
func (l *Link) write(b *batch) error {
	if len(b.bodies) == 0 {
		return l.writePiece(len(b.data), func() error {
			_, err := l.conn.Write(b.data)
			return err
		})
	}
	var joined net.Buffers
	size := 0
	pieces := b.pieces()
	for i, p := range pieces {
		joined, size = append(joined, p), size+len(p)
		if size < maxWrite && i < len(pieces)-1 {
			continue
		}
		err := l.writePiece(size, func() error {
			_, err := joined.WriteTo(l.conn)
			return err
		})
		if err != nil {
			return err
		}
		joined, size = nil, 0
	}
	return nil
}

// writePiece calls write, which writes size bytes, with a deadline of its own.
func (l *Link) writePiece(size int, write func() error) error {
	if required := time.Now().Add(writeTimeout); required.After(l.writeDeadline) {
		l.writeDeadline = required.Add(writeDeadlineSlack)
		if err := l.conn.SetWriteDeadline(l.writeDeadline); err != nil {
			return err
		}
	}
	l.traffic.writes.Add(1)
	if err := write(); err != nil {
		return err
	}
	if size >= maxWrite {
		// The other node reads, though its answers wait behind this body.
		l.progress.Add(1)
	}
	return nil
}

// isWriting reports whether frames wait to be written.
func (l *Link) isWriting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.flushing && !l.closed
}

// closeWrite ends the link towards the other node, which closes it once it has read all
// that was written. Closing with unread bytes, or a further write, would reset the
// connection before.
func (l *Link) closeWrite() {
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	c, ok := l.conn.(interface{ CloseWrite() error })
	if !ok || c.CloseWrite() != nil {
		l.Close()
	}
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
	p := &progressReader{link: l}
	r := bufio.NewReaderSize(p, readBufferSize)
	for {
		p.begun = time.Time{}
		f, err := frame.Read(r, l.budget)
		if err != nil {
			return err
		}
		if f.Kind == frame.KindProgress {
			f.Body.Release()
			continue // the read has been counted
		}
		h.HandleFrame(l, f)
	}
}

// reportProgress tells the other node that what it sent is being read, unless other
// frames are on their way and tell it anyway.
func (l *Link) reportProgress() {
	l.mu.Lock()
	isWriting := l.flushing
	l.mu.Unlock()
	if !isWriting {
		Send(l, frame.KindProgress, frame.Ping{}, nil)
	}
}

// progressReader counts reads of a link. A large frame takes many. It reports them to
// the node that opened the link, which closes the link when it hears nothing: pings
// wait behind what is being read.
type progressReader struct {
	link       *Link
	begun      time.Time // first read of the frame; zero before it
	reported   time.Time // last report
	unreported int       // bytes
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.link.conn.Read(p)
	r.link.traffic.reads.Add(1)
	if n > 0 {
		r.link.progress.Add(1)
		if r.link.address == "" && r.mustReport(time.Now(), n) {
			// Reading must not wait until the report is written.
			go r.link.reportProgress()
		}
	}
	return n, err
}

// mustReport reports whether a read of n bytes has to be reported: once in each
// checkInterval while a frame takes longer than that to arrive, or while much arrives.
func (r *progressReader) mustReport(now time.Time, n int) bool {
	if r.begun.IsZero() {
		r.begun = now
	}
	r.unreported += n
	if now.Sub(r.reported) < checkInterval || now.Sub(r.begun) < checkInterval && r.unreported < minReportedBytes {
		return false
	}
	r.reported, r.unreported = now, 0
	return true
}
