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
	for name, stream := range endless.Answers("Id: ID\r\nSeal: 1\r\n") {
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
