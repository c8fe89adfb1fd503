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
			return nil, errSwitched
		case status/100 == 1:
		case headOnly || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
			return nil, nil
		default:
			return ReadBody(r, h.ContentLength(), maxBody, claim)
		}
	}
	return nil, &Error{reason: "follows too many interim responses"}
}

// AwaitResponse reads up to the next final response, and checks its header section, which
// has to fit into the buffer of r, without reading it.
func AwaitResponse(r *bufio.Reader) error {
	var h fasthttp.ResponseHeader
	for range maxInterimResponses + 1 {
		status, err := checkHeader(r)
		switch {
		case err != nil:
			return err
		case status[0] != '1':
			return nil
		case string(status) == "101":
			return errSwitched
		}
		if err := h.Read(r); err != nil {
			return err
		}
	}
	return &Error{reason: "follows too many interim responses"}
}

// errSwitched rejects a switch of protocols. What follows is another protocol, though it
// may look like a response.
var errSwitched = &Error{reason: "switches to a protocol that was not asked for"}

// readHeader reads a header section, which has to fit into the buffer of r.
func readHeader(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	h.Reset()
	h.SetNoDefaultContentType(true)
	if _, err := checkHeader(r); err != nil {
		return err
	}
	return h.Read(r)
}

// checkHeader checks the next header section without reading it, and returns its status.
func checkHeader(r *bufio.Reader) (status []byte, err error) {
	section, err := peekHeader(r)
	if err != nil {
		return nil, err
	}
	line, fields, _ := bytes.Cut(section, []byte{'\n'})
	status, ok := parseStatusLine(bytes.TrimSuffix(line, []byte{'\r'}))
	switch {
	case !ok:
		return nil, &Error{reason: "has a malformed status line"}
	case bytes.HasPrefix(line, versionWithoutCodings) && bytes.Contains(bytes.ToLower(section), []byte("\ntransfer-encoding:")):
		// RFC 9112, section 6.1: the framing is faulty. Some readers take the lines of
		// the chunks for a part of the body.
		return nil, &Error{reason: "has chunks in a version without them"}
	}
	return status, Check(fields)
}

// versionWithoutCodings is the version before transfer codings.
var versionWithoutCodings = []byte("HTTP/1.0 ")

// maxStatusClass is the first digit of the highest status that HTTP defines (RFC 9110,
// section 15). What a higher one says of the request is known to nobody but its server.
const maxStatusClass = '5'

// parseStatusLine returns the status of a line that begins a response of HTTP/1 with a
// status of 100 to 599. Other implementations take another line for a success, for a part
// of the body or for two responses. A reason phrase may be missing.
func parseStatusLine(line []byte) (status []byte, ok bool) {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	minor, ok := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !ok || len(minor) != 1 || !isDigits(minor) || bytes.ContainsAny(rest, "\r\x00") {
		return nil, false
	}
	status, _, _ = bytes.Cut(rest, []byte{' '})
	return status, len(status) == 3 && isDigits(status) && status[0] >= '1' && status[0] <= maxStatusClass
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
