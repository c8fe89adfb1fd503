package framing

import (
	"bytes"
	"fmt"
)

// Error reports a message whose framing is malformed or ambiguous, so that two
// implementations could disagree about where it ends.
type Error struct{ reason string }

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("framing: message %s", e.reason) }

// Check rejects header lines, without the start line, from which two
// implementations could derive different lengths of the message.
func Check(header []byte) error {
	lengths, codings := 0, 0
	var length []byte
	for len(header) > 0 {
		line, rest, _ := bytes.Cut(header, []byte{'\n'})
		header = rest
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if len(line) == 0 {
			continue
		}
		if line[0] == ' ' || line[0] == '\t' {
			return &Error{reason: "has a folded header line"}
		}
		name, value, ok := bytes.Cut(line, []byte{':'})
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") || bytes.ContainsRune(line, '\r') || bytes.ContainsRune(line, 0) {
			return &Error{reason: "has a malformed header line"}
		}
		value = bytes.TrimSpace(value)
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
			length = value
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			codings++
			if !bytes.EqualFold(value, []byte("chunked")) {
				return &Error{reason: "has an unsupported transfer coding"}
			}
		}
	}
	switch {
	case lengths+codings > 1:
		return &Error{reason: "states its length more than once"}
	case lengths == 1 && !isDigits(length):
		return &Error{reason: "has an invalid Content-Length"}
	}
	return nil
}

// CheckFields rejects header lines of a response that its sender adds to a message
// whose length it states itself: lines that Check rejects, that state a length, or that
// end the header section.
func CheckFields(lines []byte) error {
	if len(lines) > 0 && !bytes.HasSuffix(lines, []byte("\r\n")) {
		return &Error{reason: "has a header line without an end"}
	}
	for rest := lines; len(rest) > 0; {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		name, _, _ := bytes.Cut(line, []byte{':'})
		switch {
		case len(line) == 0 || bytes.IndexByte(line, '\n') >= 0:
			return &Error{reason: "has an empty or unterminated header line"}
		case bytes.EqualFold(name, []byte("Content-Length")), bytes.EqualFold(name, []byte("Transfer-Encoding")):
			return &Error{reason: "states a length among its fields"}
		}
	}
	return Check(lines)
}

func isDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) > 0
}
