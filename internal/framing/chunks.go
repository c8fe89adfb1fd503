package framing

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

const (
	// maxLineBytes is the number of bytes in the lines of chunks, beyond the size of
	// the body.
	maxLineBytes = 4 << 20
	// maxSizeDigits is the number of digits of the size of a chunk.
	maxSizeDigits = 15
)

// chunkReader decodes a chunked body up to its last chunk. Its lines may take as many
// bytes as the body, and maxLineBytes. So small chunks, which cost more to read than
// what they carry, are accepted, but not without end.
type chunkReader struct {
	r      *bufio.Reader
	unread int64 // bytes of the current chunk
	spare  int64 // bytes that lines may still take
	buffer [2]byte
}

func newChunkReader(r *bufio.Reader) *chunkReader {
	return &chunkReader{r: r, spare: maxLineBytes}
}

// Read implements io.Reader.
func (c *chunkReader) Read(p []byte) (int, error) {
	if c.unread == 0 {
		if err := c.begin(); err != nil {
			return 0, err // io.EOF is the end of the body
		}
	}
	n, err := c.r.Read(p[:min(int64(len(p)), c.unread)])
	c.unread -= int64(n)
	c.spare += int64(n)
	if err == nil && c.unread == 0 && n > 0 {
		err = c.end()
	}
	return n, unexpectedEnd(err)
}

// begin reads the line of a chunk. It returns io.EOF for the last chunk.
func (c *chunkReader) begin() error {
	line, err := c.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return &Error{reason: "has a chunk line that is too long"}
	}
	if err != nil {
		return unexpectedEnd(err)
	}
	c.spare -= int64(len(line) + len(c.buffer))
	if c.spare < 0 {
		return &Error{reason: "has more in the lines of its chunks than in its body"}
	}
	line, ok := bytes.CutSuffix(line, lineEnd)
	size, _, _ := bytes.Cut(line, []byte{';'})
	size = bytes.TrimRight(size, " \t")
	if !ok || bytes.IndexByte(line, '\r') >= 0 {
		return &Error{reason: "has a malformed chunk line"}
	}
	n, ok := parseSize(size)
	if !ok {
		return &Error{reason: "has a malformed chunk line"}
	}
	if n == 0 {
		return io.EOF
	}
	c.unread = n
	return nil
}

// parseSize parses the size of a chunk.
func parseSize(digits []byte) (size int64, ok bool) {
	if len(digits) == 0 || len(digits) > maxSizeDigits {
		return 0, false
	}
	for _, d := range digits {
		switch {
		case d >= '0' && d <= '9':
			d -= '0'
		case d >= 'a' && d <= 'f':
			d -= 'a' - 10
		case d >= 'A' && d <= 'F':
			d -= 'A' - 10
		default:
			return 0, false
		}
		size = size<<4 | int64(d)
	}
	return size, true
}

// end reads the line end that follows the content of a chunk.
func (c *chunkReader) end() error {
	if _, err := io.ReadFull(c.r, c.buffer[:]); err != nil {
		return err
	}
	if !bytes.Equal(c.buffer[:], lineEnd) {
		return &Error{reason: "has a chunk that is longer than its size"}
	}
	return nil
}

var lineEnd = []byte("\r\n")

// unexpectedEnd returns io.ErrUnexpectedEOF for io.EOF and other errors unchanged.
func unexpectedEnd(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
