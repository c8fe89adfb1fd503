package framing_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http/httputil"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/framing"
	"github.com/papayapath/papayapath/pkg/memory"
)

const maxBody = 16 << 20

// readChunked reads a chunked body of a message.
func readChunked(message string) ([]byte, error) {
	claim := func(bool) *memory.Claim { return nil }
	body, err := framing.ReadBody(bufio.NewReader(strings.NewReader(message)), -1, maxBody, claim)
	if err != nil {
		return nil, err
	}
	return body.AppendTo([]byte{}), nil
}

// Guards against a body in small chunks that is refused, and against one whose lines
// are read for as long as the sender likes.
func TestLinesOfChunks(t *testing.T) {
	for name, c := range map[string]struct {
		chunk    string
		count    int
		accepted bool
	}{
		"a byte each":                    {"1\r\nx\r\n", 900_000, true},
		"small":                          {"5\r\nxxxxx\r\n", 3_000_000, true},
		"extensions as long as the body": {"10;abcdefghijk\r\n" + strings.Repeat("x", 16) + "\r\n", 900_000, true},
		"a byte each, more than 1 MiB":   {"1\r\nx\r\n", 1_100_000, false},
		"extensions":                     {"1;a=12345678901\r\nx\r\n", 300_000, false},
		"long extensions":                {"1;" + strings.Repeat("x", 4000) + "\r\nx\r\n", 1100, false},
	} {
		t.Run(name, func(t *testing.T) {
			body, err := readChunked(strings.Repeat(c.chunk, c.count) + "0\r\n\r\n")
			if !c.accepted {
				var e *framing.Error
				require.ErrorAs(t, err, &e)
				return
			}
			require.NoError(t, err)
			_, rest, _ := strings.Cut(c.chunk, "\n")
			require.Len(t, body, c.count*(len(rest)-2))
		})
	}
}

// Guards against a chunked body that is read in another way than by net/http.
func FuzzChunks(f *testing.F) {
	for _, seed := range []string{
		"3\r\nabc\r\n0\r\n\r\n", "3;x=y\r\nabc\r\n0\r\n\r\n", "3 \r\nabc\r\n00\r\n\r\n", "a\r\n0123456789\r\nA\r\n0123456789\r\n0\r\nX: y\r\n\r\n",
		"3\nabc\r\n0\r\n\r\n", "3\r\nabcd\r\n0\r\n\r\n", "+3\r\nabc\r\n0\r\n\r\n", "0x3\r\nabc\r\n0\r\n\r\n", "\r\nabc", "3\r\rabc", "3\r\nab", "3\r\nabc\r",
		"ffffffffffffffff\r\nabc", "00000000000000003\r\nabc\r\n0\r\n\r\n", ";\r\n", " 3\r\nabc\r\n0\r\n\r\n", "1_0\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, message []byte) {
		got, err := readChunked(string(message))
		expected, referenceErr := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(message)))
		if err != nil {
			return
		}
		require.NoError(t, referenceErr, fmt.Sprintf("%q", message))
		require.Equal(t, expected, got)
	})
}
