package framing_test

import (
	"bufio"
	"bytes"
	"fmt"
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
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "HTTP/1.1 101 X\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 999 X\r\n\r\n",
		"HTTP/1.1 100 X\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\n\r\n", "HTTP/1.2 200 OK\r\nContent-Length: 0\r\n\r\n",
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
			require.Equal(t, r.StatusCode, h.StatusCode())
			require.GreaterOrEqual(t, h.StatusCode(), 200)
			require.LessOrEqual(t, h.StatusCode(), 599)
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
			_, _, err := readResponse(message, false)
			require.Error(t, err)
		})
	}
}

// readResponse reads a response and returns its status and body.
func readResponse(message string, headOnly bool) (status int, body string, err error) {
	var h fasthttp.ResponseHeader
	claim := func(bool) *memory.Claim { return nil }
	b, err := framing.ReadResponse(bufio.NewReader(strings.NewReader(message)), &h, headOnly, maxBody, claim)
	if err != nil {
		return 0, "", err
	}
	return h.StatusCode(), string(b.Bytes()), nil
}

// Guards against a status beside 200 to 599 that reaches the caller, as the first
// response, after an interim one, or after another response on the connection, with and
// without a body. All statuses of up to four digits are tried.
func TestRangeOfStatus(t *testing.T) {
	const interim, whole = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
	for status := range 10000 {
		for _, digits := range []string{fmt.Sprint(status), fmt.Sprintf("%03d", status)} {
			isFinal := len(digits) == 3 && status >= 200 && status <= 599
			for _, start := range []string{"", interim} {
				for _, body := range []string{"", "abc"} {
					got, text, err := readResponse(fmt.Sprintf("%sHTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n%s", start, digits, len(body), body), false)
					require.Equal(t, isFinal, err == nil, "%q after %q with %q: %v", digits, start, body, err)
					if isFinal {
						if status == 204 || status == 304 {
							body = ""
						}
						require.Equal(t, status, got)
						require.Equal(t, body, text, digits)
					}
				}
			}
			if isInterim := len(digits) == 3 && status >= 100 && status <= 199 && status != 101; !isFinal {
				_, _, err := readResponse("HTTP/1.1 "+digits+" X\r\n\r\n"+whole, false)
				require.Equal(t, isInterim, err == nil, "%q before an answer", digits)
			}
		}
	}
}

// Guards against a first line that is no status line, and behind which a caller gets a
// success or another status than that of an HTTP client.
func TestStatusLines(t *testing.T) {
	const fields = "\r\nContent-Length: 3\r\n\r\nabc"
	for line, expected := range map[string]int{
		"HTTP/1.1 200":                    200,
		"HTTP/1.1 200 ":                   200,
		"HTTP/1.1 404 Not  Found":         404,
		"HTTP/1.0 200 OK":                 200,
		"HTTP/1.2 200 OK":                 200,
		"HTTP/1.1 200 \xc3\xa4":           200,
		"HTTP/1.1":                        0,
		"HTTP/1.1 ":                       0,
		"HTTP/1.1  200 OK":                0,
		"HTTP/1.1\t200 OK":                0,
		" HTTP/1.1 200 OK":                0,
		"\r\nHTTP/1.1 200 OK":             0,
		"HTTP/1.1 2 0 OK":                 0,
		"HTTP/1.1 20x OK":                 0,
		"HTTP/1.1 abc OK":                 0,
		"HTTP/1.1 OK 200":                 0,
		"HTTP/1.1 0x0 OK":                 0,
		"HTTP/1.1 +20 OK":                 0,
		"HTTP/1.1 -20 OK":                 0,
		"HTTP/1.1 2.0 OK":                 0,
		"HTTP/1.1 200OK":                  0,
		"HTTP/1.1 200\tOK":                0,
		"HTTP/1.1 200, 500":               0,
		"HTTP/1.1 \uff12\uff10\uff10 OK":  0, // digits beside those of ASCII
		"HTTP/1.1 200 OK\rHTTP/1.1 500 X": 0,
		"HTTP/1.1 200 O\x00K":             0,
		"HTTP/1 200 OK":                   0,
		"HTTP/1.1.1 200 OK":               0,
		"HTTP/1.10 200 OK":                0,
		"HTTP/1.x 200 OK":                 0,
		"HTTP/0.9 200 OK":                 0,
		"HTTP/2.0 200 OK":                 0,
		"HTTP/2 200 OK":                   0,
		"http/1.1 200 OK":                 0,
		"HTTPS/1.1 200 OK":                0,
		"ICY 200 OK":                      0,
		"xHTTP/1.1 200 OK":                0,
		"200 OK":                          0,
		"200 200 OK":                      0,
		"x 200":                           0,
	} {
		for _, start := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
			for _, headOnly := range []bool{false, true} {
				status, _, err := readResponse(start+line+fields, headOnly)
				require.Equal(t, expected != 0, err == nil, "%q after %q: %v", line, start, err)
				require.Equal(t, expected, status, "%q after %q", line, start)
			}
		}
	}
}

// Guards against a final response that is made of what follows an interim one: its body,
// or another protocol.
func TestAfterInterimResponse(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
	for message, accepted := range map[string]bool{
		"HTTP/1.1 100 Continue\r\n\r\n" + whole:                                 true,
		"HTTP/1.1 100\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + whole:          true,
		"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n" + whole:            true,
		"HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n\r\nabc" + whole:         false,
		"HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\nabc\r\n" + whole:     false,
		"HTTP/1.1 199 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + whole: false,
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + whole:        false,
		"HTTP/1.1 101 Switching Protocols\r\n\r\n":                              false,
		"HTTP/1.1 100 Continue\r\n\r\n":                                         false,
		"HTTP/1.1 199 X\r\nContent-Length: 3\r\n\r\nabc":                        false,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X\r\n\r\n" + whole:           false,
	} {
		status, body, err := readResponse(message, false)
		require.Equal(t, accepted, err == nil, "%q: %v", message, err)
		if accepted {
			require.Equal(t, 200, status, message)
			require.Equal(t, "abc", body, message)
		}
	}
}

// Guards against chunks whose lines reach the caller as a part of the body, or the other
// way round, because the version of the response has none.
func TestChunksInVersionWithoutThem(t *testing.T) {
	_, _, err := readResponse("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false)
	var e *framing.Error
	require.ErrorAs(t, err, &e)
	_, body, err := readResponse("HTTP/1.0 200 OK\r\n\r\nabc", false)
	require.NoError(t, err)
	require.Equal(t, "abc", body)
}
