package ingress

import (
	"bytes"
	"fmt"

	"github.com/valyala/fasthttp"
)

// FramingError reports a request whose framing is malformed or ambiguous, which
// would permit request smuggling.
type FramingError struct{ reason string }

// Error implements the error interface.
func (e *FramingError) Error() string { return fmt.Sprintf("ingress: request %s", e.reason) }

// checkFraming rejects header sections from which two implementations could
// derive different lengths of the request.
func checkFraming(h *fasthttp.RequestHeader) error {
	lengths, codings := 0, 0
	var length []byte
	for _, line := range bytes.Split(h.RawHeaders(), []byte{'\n'}) {
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if len(line) == 0 {
			continue
		}
		if line[0] == ' ' || line[0] == '\t' {
			return &FramingError{reason: "has a folded header line"}
		}
		name, value, ok := bytes.Cut(line, []byte{':'})
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") || bytes.ContainsRune(line, '\r') || bytes.ContainsRune(line, 0) {
			return &FramingError{reason: "has a malformed header line"}
		}
		value = bytes.TrimSpace(value)
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
			length = value
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			codings++
			if !bytes.EqualFold(value, []byte("chunked")) {
				return &FramingError{reason: "has an unsupported transfer coding"}
			}
		}
	}
	switch {
	case lengths > 1 || codings > 1 || lengths+codings > 1:
		return &FramingError{reason: "states its length more than once"}
	case lengths == 1 && !isDigits(length):
		return &FramingError{reason: "has an invalid Content-Length"}
	}
	return nil
}

func isDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) > 0
}
