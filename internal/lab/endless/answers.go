package endless

import "strings"

// Answers returns streams that begin as an answer to a request, by the place at which
// they go on without end. fields are header lines that the reader looks for.
func Answers(fields string) map[string]Stream {
	const longLine = 30 << 10
	head := "HTTP/1.1 200 OK\r\n" + fields
	chunks := head + "Transfer-Encoding: chunked\r\n\r\n"
	complete := head + "Content-Length: 3\r\n\r\nabc"
	fill := strings.Repeat("x", longLine)
	return map[string]Stream{
		"empty lines before a status line":   New("", "\r\n"),
		"bytes before a status line":         New("", "\x00\xff"),
		"lines before a status line":         New("", "no status\r\n"),
		"status line without an end":         New("HTTP/1.1 200 ", "x"),
		"field without an end":               New(head+"X: ", "x"),
		"fields":                             New(head, "X: y\r\n"),
		"folded fields":                      New(head+"X: y\r\n", " z\r\n"),
		"interim responses":                  New("", "HTTP/1.1 100 Continue\r\n\r\n"),
		"other interim responses":            New("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
		"large interim responses":            New("", "HTTP/1.1 102 Processing\r\nX: "+strings.Repeat("x", 4000)+"\r\n\r\n"),
		"bytes between interim responses":    New("HTTP/1.1 100 Continue\r\n\r\n", "x"),
		"body until the connection ends":     New(head+"Connection: close\r\n\r\n", "x"),
		"body of an endless length":          New(head+"Content-Length: 1000000000000\r\n\r\n", "x"),
		"chunk without an end":               New(chunks+"e8d4a51000\r\n", "x"),
		"chunks":                             New(chunks, "7800\r\n"+fill+"\r\n"),
		"tiny chunks":                        New(chunks, "1\r\nx\r\n"),
		"tiny chunks with extensions":        New(chunks, "1;a=12345678901\r\nx\r\n"),
		"chunks with long extensions":        New(chunks, "1;"+strings.Repeat("x", 4000)+"\r\nx\r\n"),
		"chunk size":                         New(chunks, "0"),
		"chunk extension":                    New(chunks+"3;", "x"),
		"bytes after a chunk":                New(chunks+"3\r\nabc", "x"),
		"trailer line":                       New(chunks+"0\r\n", "x"),
		"trailer field":                      New(chunks+"0\r\nX: ", "x"),
		"trailer fields":                     New(chunks+"0\r\n", "X: y\r\n"),
		"trailer fields byte by byte":        New(chunks+"0\r\n", "X:\r\n").Trickle(),
		"fields byte by byte":                New(head, "X:\r\n").Trickle(),
		"bytes after a complete answer":      New(complete, "x"),
		"answers after a complete answer":    New(complete, complete),
		"bytes after an answer with no body": New("HTTP/1.1 204 No Content\r\n"+fields+"\r\n", "x"),
		"answers to other requests":          New("", "HTTP/1.1 200 OK\r\nId: other\r\nSeal: 1\r\nContent-Length: 1000\r\n\r\n"+strings.Repeat("x", 1000)),
	}
}
