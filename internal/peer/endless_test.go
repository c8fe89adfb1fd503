package peer_test

import (
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/lab/endless"
	"github.com/papayapath/papayapath/internal/peer"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/memory"
)

// encode returns a frame.
func encode[T any](t *testing.T, kind frame.Kind, v T, body []byte) string {
	data, err := frame.Append(nil, kind, v, body)
	require.NoError(t, err)
	return string(data)
}

// start returns the start of an offer, up to its body of the given size.
func start(t *testing.T, bodySize int) string {
	data, err := frame.AppendWithoutBody(nil, frame.KindOffer, frame.Offer{ID: 1}, bodySize)
	require.NoError(t, err)
	return string(data)
}

// countingListener counts what is read from the connections that it accepts.
type countingListener struct {
	net.Listener
	read *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{Conn: c, read: l.read}, err
}

type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// kernelBytes returns what the buffers of a connection may take. That of a reader that
// has read much grows up to its limit.
func kernelBytes(t *testing.T) (sum int64) {
	for _, name := range []string{"tcp_rmem", "tcp_wmem"} {
		data, err := os.ReadFile("/proc/sys/net/ipv4/" + name)
		require.NoError(t, err)
		fields := strings.Fields(string(data))
		limit, err := strconv.ParseInt(fields[len(fields)-1], 10, 64)
		require.NoError(t, err)
		sum += limit
	}
	return sum
}

// Guards against a process that sends bytes without an end to the port for other
// nodes, or answers at the address of one, and takes the memory of a node. What is no
// frame closes the link at once, and a frame ends at its bound. Frames without an end
// are what a link is for: they are read, within the budget.
func TestLinkWithoutEnd(t *testing.T) {
	const (
		// maxFrame is the bound of docs/limits.md, and budget that of all frames.
		maxFrame    = 80 << 20
		budget      = 32 << 20
		closeTime   = 2 * time.Second
		memoryLimit = budget + 16<<20
	)
	// The garbage collector runs as often as in a node.
	defer debug.SetGCPercent(debug.SetGCPercent(50))
	for name, c := range map[string]struct {
		stream endless.Stream
		closes bool
	}{
		"bytes":                                 {endless.New("", "\xff"), true},
		"text":                                  {endless.New("", "HTTP/1.1 200 OK\r\n\r\n"), true},
		"zeros":                                 {endless.New("", "\x00"), true},
		"too large a frame":                     {endless.New("\x10\x00\x00\x00\x01\x00\x00\x00\x01", "x"), true},
		"too large a message":                   {endless.New("\x00\x50\x00\x00\x04\x00\x50\x00\x00", "x"), true},
		"message larger than its frame":         {endless.New("\x00\x00\x10\x00\x01\x00\x01\x00\x00", "x"), true},
		"bytes after a frame":                   {endless.New(encode(t, frame.KindPing, frame.Ping{}, nil), "\xff"), true},
		"bytes after a frame beyond the budget": {endless.New(start(t, 40<<20), "x"), true},
		"bytes after a largest frame":           {endless.New(start(t, 79<<20), "x"), true},
		"large frames":                          {endless.New("", encode(t, frame.KindOffer, frame.Offer{ID: 1}, make([]byte, 1<<20))), false},
		"frames of an unknown kind":             {endless.New("", "\x00\x00\x00\x06\x7f\x00\x00\x00\x01x"), false},
		"valid frames":                          {endless.New("", encode(t, frame.KindCancel, frame.Cancel{ID: 1}, nil)), false},
	} {
		for _, isDialed := range []bool{false, true} {
			suffix := "/accepted"
			if isDialed {
				suffix = "/dialed"
			}
			t.Run(name+suffix, func(t *testing.T) {
				b := memory.New(budget)
				m := peer.NewMesh(&discarding{}, peer.WithBudget(b))
				defer m.Close()
				ln := listen(t, "127.0.0.1:0")
				var remote net.Conn
				var err error
				var read atomic.Int64
				if isDialed {
					m.Connect(t.Context(), ln.Addr().String())
					remote, err = ln.Accept()
				} else {
					go m.Accept(countingListener{ln, &read}) //nolint:errcheck // returns when the listener is closed
					remote, err = net.Dial("tcp4", ln.Addr().String())
				}
				require.NoError(t, err)
				defer remote.Close()
				var sent atomic.Int64
				runtime.GC()
				var before runtime.MemStats
				runtime.ReadMemStats(&before)
				var peak atomic.Uint64
				stop, stopped := make(chan struct{}), make(chan struct{})
				go func() {
					defer close(stopped)
					for {
						var now runtime.MemStats
						runtime.ReadMemStats(&now)
						peak.Store(max(peak.Load(), now.HeapInuse-min(now.HeapInuse, before.HeapInuse)))
						select {
						case <-stop:
							return
						case <-time.After(10 * time.Millisecond):
						}
					}
				}()
				begun := time.Now()
				closed := c.stream.Send(remote, closeTime, &sent)
				took := time.Since(begun)
				close(stop)
				<-stopped
				t.Logf("closed %t, %d ms, %d KB sent, heap grew %d MB, %d MB of the budget at most", closed, took.Milliseconds(), sent.Load()>>10, peak.Load()>>20, b.Stats().Peak>>20)
				require.LessOrEqual(t, b.Stats().Peak, int64(budget))
				require.Less(t, peak.Load(), uint64(memoryLimit))
				if !c.closes {
					return
				}
				require.True(t, closed)
				require.Less(t, took, closeTime)
				if isDialed {
					require.LessOrEqual(t, sent.Load(), maxFrame+kernelBytes(t))
				} else {
					require.LessOrEqual(t, read.Load(), int64(maxFrame))
				}
				require.Eventually(t, func() bool { return b.Stats().Used == 0 }, time.Second, 10*time.Millisecond)
			})
		}
	}
}

// discarding is a handler that releases all frames.
type discarding struct{ handler }

// HandleFrame releases f.
func (d *discarding) HandleFrame(_ *peer.Link, f frame.Frame) { f.Body.Release() }
