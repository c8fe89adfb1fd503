package framing

import (
	"bufio"
	"bytes"
	"errors"

	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/pkg/memory"
	"github.com/papayapath/papayapath/pkg/payload"
)

// maxInterimResponses is the number of interim responses (1xx) that may precede a
// response. The node never asks for one.
const maxInterimResponses = 4

// ReadResponse reads the header of the next final response into h and returns
// its body, which belongs to the caller. A header section has to fit into the buffer
// of r. Memory use follows the bytes received: lengths that the server announces, and
// lines without end, allocate nothing.
func ReadResponse(r *bufio.Reader, h *fasthttp.ResponseHeader, headOnly bool, maxBody int, claim func(announced bool) *memory.Claim) (*payload.Body, error) {
	for range maxInterimResponses + 1 {
		if err := readHeader(r, h); err != nil {
			return nil, err
		}
		status := h.StatusCode()
		switch {
		case status == fasthttp.StatusSwitchingProtocols:
			// What follows is another protocol, though it may look like a response.
			return nil, &Error{reason: "switches to a protocol that was not asked for"}
		case status/100 == 1:
		case headOnly || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
			return nil, nil
		default:
			return ReadBody(r, h.ContentLength(), maxBody, claim)
		}
	}
	return nil, &Error{reason: "follows too many interim responses"}
}

// readHeader reads a header section, which has to fit into the buffer of r.
func readHeader(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	h.Reset()
	h.SetNoDefaultContentType(true)
	section, err := peekHeader(r)
	if err != nil {
		return err
	}
	line, fields, _ := bytes.Cut(section, []byte{'\n'})
	line = bytes.TrimSuffix(line, []byte{'\r'})
	if !isStatusLine(line) {
		return &Error{reason: "has a malformed status line"}
	}
	if err := Check(fields); err != nil {
		return err
	}
	if err := h.Read(r); err != nil {
		return err
	}
	if bytes.HasPrefix(line, versionWithoutChunks) && h.ContentLength() == lengthChunked {
		// RFC 9112, section 6.1: the framing is faulty. Some readers take the lines of
		// the chunks for a part of the body.
		return &Error{reason: "has chunks in a version without them"}
	}
	return nil
}

// versionWithoutChunks is the version before transfer codings.
var versionWithoutChunks = []byte("HTTP/1.0 ")

// maxStatusClass is the first digit of the highest status that HTTP defines (RFC 9110,
// section 15). What a higher one says of the request is known to nobody but its server.
const maxStatusClass = '5'

// isStatusLine reports whether a line begins a response of HTTP/1 with a status of 100 to
// 599. Other implementations take another line for a success, for a part of the body or
// for two responses. A reason phrase may be missing.
func isStatusLine(line []byte) bool {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	minor, ok := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !ok || len(minor) != 1 || !isDigits(minor) || bytes.ContainsAny(rest, "\r\x00") {
		return false
	}
	status, _, _ := bytes.Cut(rest, []byte{' '})
	return len(status) == 3 && isDigits(status) && status[0] >= '1' && status[0] <= maxStatusClass
}

// peekHeader returns the next header section without consuming it.
func peekHeader(r *bufio.Reader) ([]byte, error) {
	for n := 1; ; n = r.Buffered() + 1 {
		if _, err := r.Peek(n); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return nil, &Error{reason: "has a header section that is too long"}
			}
			return nil, err
		}
		buffered, _ := r.Peek(r.Buffered()) //nolint:errcheck // never fails for buffered bytes
		if i := bytes.Index(buffered, []byte("\n\r\n")); i >= 0 {
			return buffered[:i+1], nil
		}
	}
}
