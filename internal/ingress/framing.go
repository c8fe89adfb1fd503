package ingress

import (
	"bytes"
	"fmt"

	"github.com/valyala/fasthttp"
)

// FramingError reports a request whose end could be understood in more than one
// way, which would let a second request hide inside it.
type FramingError struct{ fault string }

// Error states the fault.
func (e *FramingError) Error() string { return fmt.Sprintf("ingress: request %s", e.fault) }

// checkFraming refuses heads from which two readers could derive different ends
// of the request.
func checkFraming(h *fasthttp.RequestHeader) error {
	lengths, codings := 0, 0
	var length []byte
	for _, line := range bytes.Split(h.RawHeaders(), []byte{'\n'}) {
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if len(line) == 0 {
			continue
		}
		if line[0] == ' ' || line[0] == '\t' {
			return &FramingError{fault: "continues a header line"}
		}
		name, value, ok := bytes.Cut(line, []byte{':'})
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") || bytes.ContainsRune(line, '\r') || bytes.ContainsRune(line, 0) {
			return &FramingError{fault: "has a malformed header line"}
		}
		value = bytes.TrimSpace(value)
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
			length = value
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			codings++
			if !bytes.EqualFold(value, []byte("chunked")) {
				return &FramingError{fault: "has an unknown transfer coding"}
			}
		}
	}
	switch {
	case lengths > 1 || codings > 1 || lengths+codings > 1:
		return &FramingError{fault: "states its length more than once"}
	case lengths == 1 && !isDigits(length):
		return &FramingError{fault: "has a length that is no number"}
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
