package payload

import (
	"errors"
	"io"

	"github.com/papayapath/papayapath/pkg/memory"
)

// ErrTooLarge reports content that is larger than its reader allows.
var ErrTooLarge = errors.New("payload: content is too large")

const (
	// firstSegment is the size of the first segment of content of an announced
	// length, which may be false.
	firstSegment = 64 << 10
	// maxSegment is the size up to which the segments of a body grow.
	maxSegment = 1 << 20
)

// Body is the content of a message, which is not changed once it is complete, with
// its claim on memory. It consists of segments, so that it grows without being
// copied. A nil body is empty.
type Body struct {
	segments [][]byte
	first    [1][]byte // room for the segments of a small body
	size     int
	claim    *memory.Claim
}

// NewBody returns a body with the given content and claim.
func NewBody(data []byte, c *memory.Claim) *Body {
	if len(data) == 0 && c == nil {
		return nil
	}
	b := &Body{first: [1][]byte{data}, size: len(data), claim: c}
	b.segments = b.first[:]
	return b
}

// Len returns the size in bytes.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return b.size
}

// Segments returns the segments, which must not be changed.
func (b *Body) Segments() [][]byte {
	if b == nil {
		return nil
	}
	return b.segments
}

// AppendTo appends the content to dst.
func (b *Body) AppendTo(dst []byte) []byte {
	for _, s := range b.Segments() {
		dst = append(dst, s...)
	}
	return dst
}

// Bytes returns the content. It is a copy if the body has several segments.
func (b *Body) Bytes() []byte {
	if b.Len() > 0 && len(b.segments) == 1 {
		return b.segments[0]
	}
	return b.AppendTo(nil)
}

// Retain adds a user of the body, who has to release it as well.
func (b *Body) Retain() {
	if b != nil {
		b.claim.Retain()
	}
}

// Release ends the use of the body by one user.
func (b *Body) Release() {
	if b != nil {
		b.claim.Release()
	}
}

// Read reads size bytes into a body that holds c. Memory use follows the bytes that
// arrive, because the announced size may be false. It returns io.ErrUnexpectedEOF
// if r ends early and a *memory.ExhaustedError if the claim is refused or revoked.
func Read(r io.Reader, size int, c *memory.Claim) (*Body, error) {
	if size == 0 && c == nil {
		return nil, nil
	}
	b := &Body{claim: c}
	for next := firstSegment; b.size < size; next = min(2*next, maxSegment) {
		err := b.readSegment(r, min(next, size-b.size))
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return b.fail(err)
		}
	}
	return b.complete()
}

// ReadAll reads until the end of r into a body that holds c. It returns ErrTooLarge
// if there are more than maxBytes bytes, and a *memory.ExhaustedError if the claim
// is refused or revoked.
func ReadAll(r io.Reader, maxBytes int, c *memory.Claim) (*Body, error) {
	b := &Body{claim: c}
	for next := memory.Small; ; next = min(2*next, maxSegment) {
		err := b.readSegment(r, min(next, maxBytes+1-b.size))
		switch {
		case b.size > maxBytes:
			return b.fail(ErrTooLarge)
		case err == io.EOF:
			return b.complete()
		case err != nil:
			return b.fail(err)
		}
	}
}

// readSegment adds a segment of the given size. At the end of r the segment is
// shorter and the error is that of r.
func (b *Body) readSegment(r io.Reader, size int) error {
	if err := b.claim.GrowOrRelease(size); err != nil {
		return err
	}
	segment := make([]byte, size)
	filled := 0
	for filled < size {
		n, err := r.Read(segment[filled:])
		filled += n
		if err != nil {
			b.add(segment[:filled])
			return err
		}
	}
	b.add(segment)
	return nil
}

func (b *Body) add(segment []byte) {
	if len(segment) > 0 {
		if b.segments == nil {
			b.segments = b.first[:0]
		}
		b.segments = append(b.segments, segment)
		b.size += len(segment)
	}
}

// complete returns the whole body, unless its claim has been revoked.
func (b *Body) complete() (*Body, error) {
	if err := b.claim.Complete(); err != nil {
		return b.fail(err)
	}
	return b, nil
}

// fail releases the claim. If the claim has been revoked, that is the cause of
// any error.
func (b *Body) fail(err error) (*Body, error) {
	if revoked := b.claim.Complete(); revoked != nil {
		err = revoked
	}
	b.claim.Release()
	return nil, err
}
