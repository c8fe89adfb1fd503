package ingress_test

import (
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/ingress"
	"github.com/papayapath/papayapath/internal/lab/endless"
	"github.com/papayapath/papayapath/pkg/memory"
	"github.com/papayapath/papayapath/pkg/routing"
)

// Guards against a request without an end, of which a node reads and discards what
// comes for seconds after it has refused it.
func TestRequestWithoutEnd(t *testing.T) {
	const (
		maxBody = 1 << 18
		// maxRequest and closeTime are bounds of docs/limits.md for a request with all
		// that is read beside its body, and what is discarded after its refusal.
		maxRequest  = 2*maxBody + 5<<20 + 2*maxBody
		closeTime   = 3 * time.Second
		memoryLimit = 16 << 20
	)
	for budgetName, budget := range map[string]*memory.Budget{"": nil, " without memory": memory.New(2 * maxBody)} {
		for name, stream := range endless.Requests("POST /path", strings.Repeat("x", 4000)) {
			t.Run(name+budgetName, func(t *testing.T) {
				h := &handler{limits: routing.Limits{HeaderBytes: 16 << 10, BodyBytes: maxBody, HeaderTimeout: time.Second, IdleTimeout: time.Second}}
				s := ingress.New(h, ingress.WithBudget(budget), ingress.WithWriteTimeout(time.Second))
				if budget != nil {
					held := budget.Claim(memory.Frame, memory.Fixed, nil)
					require.NoError(t, held.Grow(2*maxBody-32<<10))
					defer held.Release()
				}
				ln, err := net.Listen("tcp4", "127.0.0.1:0")
				require.NoError(t, err)
				defer ln.Close()
				go s.Serve(ln) //nolint:errcheck // ends with the listener
				c, err := net.Dial("tcp4", ln.Addr().String())
				require.NoError(t, err)
				defer c.Close()
				var sent atomic.Int64
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				start := time.Now()
				closed := stream.Send(c, closeTime+time.Second, &sent)
				took := time.Since(start)
				runtime.ReadMemStats(&after)
				t.Logf("%d ms, %d KB sent, %d KB allocated", took.Milliseconds(), sent.Load()>>10, (after.TotalAlloc-before.TotalAlloc)>>10)
				require.True(t, closed)
				require.Less(t, took, closeTime)
				require.LessOrEqual(t, sent.Load(), int64(maxRequest+endless.KernelBytes))
				if strings.HasPrefix(name, "requests") {
					return // each is handled, and leaves garbage
				}
				require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(memoryLimit))
			})
		}
	}
}
