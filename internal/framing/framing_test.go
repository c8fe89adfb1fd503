package framing_test

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/framing"
)

// Guards against header sections that two implementations could read differently.
func TestCheck(t *testing.T) {
	for header, valid := range map[string]bool{
		"":                                 true,
		"A: b\r\nContent-Length: 12\r\n":   true,
		"transfer-encoding:  Chunked \r\n": true,
		"Content-Length: 1\r\nContent-Length: 1\r\n":          false,
		"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n": false,
		"Content-Length: -1\r\n":                              false,
		"Content-Length: 1, 1\r\n":                            false,
		"Content-Length:\r\n":                                 false,
		"Content-Length : 1\r\n":                              false,
		"Transfer-Encoding: gzip\r\n":                         false,
		"A: b\r\n c\r\n":                                      false,
		"A\r\n":                                               false,
		"A: b\rContent-Length: 1\r\n":                         false,
		"A: b\x00\r\n":                                        false,
	} {
		err := framing.Check([]byte(header))
		if valid {
			require.NoError(t, err, header)
			continue
		}
		var e *framing.Error
		require.ErrorAs(t, err, &e, header)
	}
}

// Guards against a header section that passes the check but has another length in
// fasthttp than in net/http.
func FuzzLengthsAgree(f *testing.F) {
	for _, seed := range []string{
		"Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n", "Content-Length: 03\r\nX: y\r\n", "content-length:3\r\n\r\n",
		"Content-Length: 3\r\nContent-Length: 4\r\n", "X: \r\n", "Content-Length: 99999999999999999999\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, header []byte) {
		if bytes.Contains(header, []byte("\n\r\n")) || bytes.Contains(header, []byte("\n\n")) || framing.Check(header) != nil {
			return
		}
		message := append(append([]byte("HTTP/1.1 200 OK\r\n"), header...), "\r\n\r\n"...)
		var h fasthttp.ResponseHeader
		if h.Read(bufio.NewReader(bytes.NewReader(message))) != nil {
			return
		}
		r, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(message)), nil)
		if err != nil {
			return
		}
		r.Body.Close()
		chunked := len(r.TransferEncoding) > 0
		require.Equal(t, chunked, h.ContentLength() == -1)
		if !chunked && r.ContentLength >= 0 {
			require.Equal(t, r.ContentLength, int64(h.ContentLength()))
		}
	})
}
