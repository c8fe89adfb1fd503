package answer

import (
	"bytes"
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// checksumBase is the number base of a checksum in a header field.
const checksumBase = 16

// Response is a response body that identifies its request.
type Response struct {
	body []byte
}

// New returns the response of service to the request root, with a body of at
// least size bytes. The filler bytes depend on the request, so that a mixture
// of two responses is detected.
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

// Checksum returns the checksum of the body in the format of the header field.
func (a Response) Checksum() string {
	return strconv.FormatUint(xxhash.Sum64(a.body), checksumBase)
}

// Verdict is the result of verifying a response.
type Verdict int

// Results of verifying a response.
const (
	Complete Verdict = iota // the complete response to the request
	Partial                 // truncated or corrupted
	Foreign                 // complete, but the response to another request
)

// Verify checks a body against its checksum and against the request.
func Verify(service, root, checksum string, body []byte) Verdict {
	if (Response{body: body}).Checksum() != checksum {
		return Partial
	}
	if !bytes.HasPrefix(body, firstLine(service, root)) {
		return Foreign
	}
	return Complete
}

// firstLine returns the first line of a body.
func firstLine(service, root string) []byte { return []byte(service + " " + root + "\n") }
