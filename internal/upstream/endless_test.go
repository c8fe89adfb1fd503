package upstream_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/lab/endless"
	"github.com/papayapath/papayapath/internal/upstream"
)

// endlessAnswers returns streams that begin as an answer and have no end, by the place
// at which they stop being one. fields are header lines that the reader looks for.
func endlessAnswers(fields string) map[string]endless.Stream {
	const longLine = 30 << 10
	head := "HTTP/1.1 200 OK\r\n" + fields
	chunks := head + "Transfer-Encoding: chunked\r\n\r\n"
	complete := head + "Content-Length: 3\r\n\r\nabc"
	fill := strings.Repeat("x", longLine)
	return map[string]endless.Stream{
		"empty lines before a status line":   endless.New("", "\r\n"),
		"bytes before a status line":         endless.New("", "\x00\xff"),
		"lines before a status line":         endless.New("", "no status\r\n"),
		"status line without an end":         endless.New("HTTP/1.1 200 ", "x"),
		"field without an end":               endless.New(head+"X: ", "x"),
		"fields":                             endless.New(head, "X: y\r\n"),
		"folded fields":                      endless.New(head+"X: y\r\n", " z\r\n"),
		"interim responses":                  endless.New("", "HTTP/1.1 100 Continue\r\n\r\n"),
		"other interim responses":            endless.New("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
		"large interim responses":            endless.New("", "HTTP/1.1 102 Processing\r\nX: "+strings.Repeat("x", 4000)+"\r\n\r\n"),
		"bytes between interim responses":    endless.New("HTTP/1.1 100 Continue\r\n\r\n", "x"),
		"body until the connection ends":     endless.New(head+"Connection: close\r\n\r\n", "x"),
		"body of an endless length":          endless.New(head+"Content-Length: 1000000000000\r\n\r\n", "x"),
		"chunk without an end":               endless.New(chunks+"e8d4a51000\r\n", "x"),
		"chunks":                             endless.New(chunks, "7800\r\n"+fill+"\r\n"),
		"tiny chunks":                        endless.New(chunks, "1\r\nx\r\n"),
		"tiny chunks with extensions":        endless.New(chunks, "1;a=12345678901\r\nx\r\n"),
		"chunks with long extensions":        endless.New(chunks, "1;"+strings.Repeat("x", 4000)+"\r\nx\r\n"),
		"chunk size":                         endless.New(chunks, "0"),
		"chunk extension":                    endless.New(chunks+"3;", "x"),
		"bytes after a chunk":                endless.New(chunks+"3\r\nabc", "x"),
		"trailer line":                       endless.New(chunks+"0\r\n", "x"),
		"trailer field":                      endless.New(chunks+"0\r\nX: ", "x"),
		"trailer fields":                     endless.New(chunks+"0\r\n", "X: y\r\n"),
		"trailer fields byte by byte":        endless.New(chunks+"0\r\n", "X:\r\n").Trickle(),
		"fields byte by byte":                endless.New(head, "X:\r\n").Trickle(),
		"bytes after a complete answer":      endless.New(complete, "x"),
		"answers after a complete answer":    endless.New(complete, complete),
		"bytes after an answer with no body": endless.New("HTTP/1.1 204 No Content\r\n"+fields+"\r\n", "x"),
		"answers to other requests":          endless.New("", "HTTP/1.1 200 OK\r\nId: other\r\nSeal: 1\r\nContent-Length: 1000\r\n\r\n"+strings.Repeat("x", 1000)),
	}
}

// serveEndless starts a server that answers with s.
func serveEndless(t *testing.T, s endless.Stream) *endless.Server {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return endless.Serve(ln, s, 10*time.Second)
}

// Guards against an answer without end, read and kept or discarded at the node of the
// faulty server.
func TestAnswerWithoutEnd(t *testing.T) {
	const (
		timeout = 3 * time.Second
		maxBody = 1 << 20 // of the pool
		// maxAnswer is the bound of docs/limits.md for an answer with all that is
		// read beside its body.
		maxAnswer   = 2*maxBody + 5<<20
		memoryLimit = 16 << 20
	)
	for name, stream := range endlessAnswers("Id: ID\r\nSeal: 1\r\n") {
		t.Run(name, func(t *testing.T) {
			s := serveEndless(t, stream.For("ID", "a"))
			p := upstream.New(s.Address(), codec{}, maxBody)
			start := time.Now()
			var a *upstream.Answer
			memory := allocated(func() { a = do(p, "a", timeout) })
			took := time.Since(start)
			time.Sleep(20 * time.Millisecond)
			t.Logf("%d ms, %d KB sent, %d KB allocated, %v", took.Milliseconds(), s.Sent()>>10, memory>>10, a.Err)
			require.False(t, a.NotRun)
			require.Less(t, took, timeout+500*time.Millisecond)
			require.LessOrEqual(t, s.Sent(), int64(maxAnswer+endless.KernelBytes))
			require.Less(t, memory, uint64(memoryLimit))
			require.Eventually(t, func() bool { return s.Closed() == 1 }, time.Second, 10*time.Millisecond)
			require.Eventually(t, func() bool { open, _, _ := p.Stats(); return open == 0 }, time.Second, 10*time.Millisecond)
			if strings.Contains(name, "after") {
				return
			}
			require.Error(t, a.Err)
		})
	}
}
