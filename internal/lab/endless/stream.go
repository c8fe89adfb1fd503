package endless

import (
	"bytes"
	"errors"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// pieceSize is the size of a write, in bytes, at full speed.
const pieceSize = 32 << 10

// KernelBytes is a bound for what the kernel takes of a stream that is not read: its
// buffers at both ends of a connection on loopback.
const KernelBytes = 8 << 20

// Stream is what a faulty process sends on a connection.
type Stream struct {
	first     string
	repeat    string
	isTrickle bool
}

// New returns a stream of first, and then of repeat without end.
func New(first, repeat string) Stream { return Stream{first: first, repeat: repeat} }

// Trickle returns a stream that is sent byte by byte.
func (s Stream) Trickle() Stream {
	s.isTrickle = true
	return s
}

// For returns the stream with each placeholder replaced by value.
func (s Stream) For(placeholder, value string) Stream {
	s.first = strings.ReplaceAll(s.first, placeholder, value)
	s.repeat = strings.ReplaceAll(s.repeat, placeholder, value)
	return s
}

// Send writes the stream to c as fast as it is read, until c is closed or the time
// limit has passed. It adds what it has written to sent, and returns false at the
// limit.
func (s Stream) Send(c net.Conn, limit time.Duration, sent *atomic.Int64) (closed bool) {
	if c.SetWriteDeadline(time.Now().Add(limit)) != nil {
		return true
	}
	err := s.write(c, []byte(s.first), sent)
	piece := []byte(s.repeat)
	if n := len(piece); n > 0 && n < pieceSize/2 {
		piece = bytes.Repeat(piece, pieceSize/n)
	}
	for err == nil {
		err = s.write(c, piece, sent)
	}
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// write writes data.
func (s Stream) write(c net.Conn, data []byte, sent *atomic.Int64) error {
	size := len(data)
	if s.isTrickle {
		size = 1
	}
	for len(data) > 0 {
		n, err := c.Write(data[:min(size, len(data))])
		sent.Add(int64(n))
		if err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}
