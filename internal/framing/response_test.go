package framing_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/framing"
	"github.com/papayapath/papayapath/pkg/memory"
)

// Guards against a response that is read in another way than by net/http, so that a
// caller gets another status or body, or one that breaks off and is taken for whole.
func FuzzReadResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", "HTTP/1.1 200 OK\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nabcde",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\nabc", "HTTP/1.1 2 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 -200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 00000000000000000003\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551619\r\n\r\nabc", "\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\nContent-Length: 3\n\r\nabc",
	} {
		f.Add([]byte(seed), false)
		f.Add([]byte(seed), true)
	}
	f.Fuzz(func(t *testing.T, message []byte, headOnly bool) {
		var h fasthttp.ResponseHeader
		claim := func(bool) *memory.Claim { return nil }
		body, err := framing.ReadResponse(bufio.NewReaderSize(bytes.NewReader(message), 4<<10), &h, headOnly, maxBody, claim)
		if err != nil {
			require.Nil(t, body)
			return
		}
		method := http.MethodGet
		if headOnly {
			method = http.MethodHead
		}
		reader := bufio.NewReader(bytes.NewReader(message))
		for {
			r, err := http.ReadResponse(reader, &http.Request{Method: method})
			if err != nil {
				return // net/http is stricter in what a header section may have
			}
			if r.StatusCode/100 == 1 && r.StatusCode != http.StatusSwitchingProtocols {
				continue
			}
			if r.StatusCode < http.StatusContinue {
				return // TestInvalidStatus
			}
			require.Equal(t, r.StatusCode, h.StatusCode())
			expected, err := io.ReadAll(r.Body)
			if err != nil && r.ContentLength >= 0 {
				require.NoError(t, err)
			}
			if err == nil {
				require.Equal(t, string(expected), string(body.Bytes()))
			}
			return
		}
	})
}

// Guards against a response whose status is none, and that reaches the caller as a
// success or as a malformed response. The first was found by FuzzReadResponse.
func TestInvalidStatus(t *testing.T) {
	for name, message := range map[string]string{
		"seed": "HTTP/0.0 000 00000000000000000\n\r\n", "zero": "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", "one digit": "HTTP/1.1 2 OK\r\nContent-Length: 0\r\n\r\n",
		"two digits": "HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n", "four digits": "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
		"negative": "HTTP/1.1 -200 OK\r\nContent-Length: 0\r\n\r\n", "none": "HTTP/1.1 \r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			var h fasthttp.ResponseHeader
			claim := func(bool) *memory.Claim { return nil }
			_, err := framing.ReadResponse(bufio.NewReader(strings.NewReader(message)), &h, false, maxBody, claim)
			require.Error(t, err, "status %d", h.StatusCode())
		})
	}
}
