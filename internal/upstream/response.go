package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/framing"
	"github.com/papayapath/papayapath/pkg/payload"
)

const (
	// maxInterimResponses is the number of interim responses (1xx) that may
	// precede a response. The node never asks for one.
	maxInterimResponses = 4
	// maxTrailerLines is the number of trailer lines of a chunked body.
	maxTrailerLines = 32
)

// lengthChunked is the content length that fasthttp reports for a chunked body.
const lengthChunked = -1

// readResponse reads the header of the next final response into h and returns
// its body, which belongs to the caller. Memory use follows the bytes received:
// lengths that the server announces, and lines without end, allocate nothing.
func readResponse(r *bufio.Reader, h *fasthttp.ResponseHeader, headOnly bool, maxBody int, reading *atomic.Int64) ([]byte, error) {
	for range maxInterimResponses + 1 {
		if err := readHeader(r, h); err != nil {
			return nil, err
		}
		status := h.StatusCode()
		switch {
		case status/100 == 1:
		case headOnly || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
			return nil, nil
		default:
			counted := &countingReader{reader: r, reading: reading}
			defer counted.end()
			return readBody(r, counted, h.ContentLength(), maxBody)
		}
	}
	return nil, &ResponseError{reason: "follows too many interim responses"}
}

// readHeader reads a header section, which has to fit into the buffer of r.
func readHeader(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	h.Reset()
	h.SetNoDefaultContentType(true)
	section, err := peekHeader(r)
	if err != nil {
		return err
	}
	_, fields, _ := bytes.Cut(section, []byte{'\n'})
	if err := framing.Check(fields); err != nil {
		return err
	}
	return h.Read(r)
}

// peekHeader returns the next header section without consuming it.
func peekHeader(r *bufio.Reader) ([]byte, error) {
	for n := 1; ; n = r.Buffered() + 1 {
		if _, err := r.Peek(n); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return nil, &ResponseError{reason: "has a header section that is too long"}
			}
			return nil, err
		}
		buffered, _ := r.Peek(r.Buffered()) //nolint:errcheck // never fails for buffered bytes
		if i := bytes.Index(buffered, []byte("\n\r\n")); i >= 0 {
			return buffered[:i+1], nil
		}
	}
}

// readBody reads a body of the given length. A chunked body has lengthChunked,
// and a body that ends with its connection another negative length.
func readBody(r *bufio.Reader, counted *countingReader, length, maxBody int) ([]byte, error) {
	switch {
	case length > maxBody:
		return nil, fasthttp.ErrBodyTooLarge
	case length >= 0:
		return payload.Read(counted, length)
	case length != lengthChunked:
		return readAll(counted, maxBody)
	}
	// The chunked reader must not buffer bytes of its own beyond the body.
	counted.reader = httputil.NewChunkedReader(r)
	body, err := readAll(counted, maxBody)
	if err != nil {
		return nil, err
	}
	return body, skipTrailer(r)
}

// readAll reads until the end of r, but at most maxBody bytes.
func readAll(r io.Reader, maxBody int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, int64(maxBody)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxBody {
		return nil, fasthttp.ErrBodyTooLarge
	}
	return body, nil
}

// skipTrailer reads the trailer of a chunked body. The last chunk completes the
// body, so the connection may end in place of an empty trailer.
func skipTrailer(r *bufio.Reader) error {
	for i := range maxTrailerLines {
		line, err := r.ReadSlice('\n')
		switch {
		case i == 0 && len(line) == 0 && errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, bufio.ErrBufferFull):
			return &ResponseError{reason: "has a trailer line that is too long"}
		case err != nil:
			return err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return nil
		}
	}
	return &ResponseError{reason: "has too many trailer lines"}
}

// countingReader adds the bytes that it reads to reading until end is called.
type countingReader struct {
	reader  io.Reader
	reading *atomic.Int64
	count   int64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	c.count += int64(n)
	c.reading.Add(int64(n))
	return n, err
}

func (c *countingReader) end() { c.reading.Add(-c.count) }
