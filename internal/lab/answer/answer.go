package answer

import (
	"bytes"
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// checksumBase is the base of a checksum in a header field.
const checksumBase = 16

// Response is the body of an answer and its checksum.
type Response struct {
	body []byte
}

// New returns the answer of service to the request root, with a body of at
// least size bytes. The filler differs between requests, so that a mixture of
// two answers shows.
func New(service, root string, size int) Response {
	head := firstLine(service, root)
	body := make([]byte, max(size, len(head)))
	n := copy(body, head)
	var filler [8]byte
	binary.LittleEndian.PutUint64(filler[:], xxhash.Sum64String(root))
	for n < len(body) {
		n += copy(body[n:], filler[:])
	}
	return Response{body: body}
}

// Body returns the body.
func (a Response) Body() []byte { return a.body }

// Checksum returns the checksum as the header field gives it.
func (a Response) Checksum() string {
	return strconv.FormatUint(xxhash.Sum64(a.body), checksumBase)
}

// Verdict is what a client finds in an answer.
type Verdict int

// Verdicts on an answer.
const (
	Complete Verdict = iota // the whole answer to the own request
	Partial                 // not what the server wrote, or part of it
	Foreign                 // whole, but the answer to another request
)

// Verify compares a body with its checksum and with the request.
func Verify(service, root, checksum string, body []byte) Verdict {
	if (Response{body: body}).Checksum() != checksum {
		return Partial
	}
	if !bytes.HasPrefix(body, firstLine(service, root)) {
		return Foreign
	}
	return Complete
}

// firstLine returns the line with which a body begins.
func firstLine(service, root string) []byte { return []byte(service + " " + root + "\n") }
