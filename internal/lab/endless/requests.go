package endless

import (
	"fmt"
	"strings"
)

// Requests returns streams that begin as a request, by the place at which they go on
// without end. start is a method and a path, and body that of complete requests.
func Requests(start, body string) map[string]Stream {
	head := start + " HTTP/1.1\r\nHost: a\r\n"
	chunks := head + "Transfer-Encoding: chunked\r\n\r\n"
	complete := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	return map[string]Stream{
		"empty lines before a request":      New("", "\r\n"),
		"bytes before a request":            New("", "\x00\xff"),
		"request line without an end":       New(start+"/", "x"),
		"field without an end":              New(head+"X: ", "x"),
		"fields":                            New(head, "X: y\r\n"),
		"body of an endless length":         New(head+"Content-Length: 1000000000000\r\n\r\n", "x"),
		"body that is waited for":           New(head+"Expect: 100-continue\r\nContent-Length: 1000000000000\r\n\r\n", "x"),
		"chunk without an end":              New(chunks+"e8d4a51000\r\n", "x"),
		"chunks":                            New(chunks, "1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n"),
		"tiny chunks":                       New(chunks, "1\r\nx\r\n"),
		"chunks with extensions":            New(chunks, "1;"+strings.Repeat("x", 1000)+"\r\nx\r\n"),
		"chunk size":                        New(chunks, "0"),
		"chunk extension":                   New(chunks+"3;", "x"),
		"bytes after a chunk":               New(chunks+"3\r\nabc", "x"),
		"trailer field":                     New(chunks+"0\r\nX: ", "x"),
		"trailer fields":                    New(chunks+"0\r\n", "X: y\r\n"),
		"bytes after a complete request":    New(complete, "x"),
		"requests after a complete request": New(complete, complete),
	}
}
