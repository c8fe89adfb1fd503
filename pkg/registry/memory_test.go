package registry_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/readiness"
	"github.com/papayapath/papayapath/pkg/registry"
)

// Guards against nodes that come, leave and are forgotten, or that another node
// invents, and whose leaving servers are remembered for as long as the process runs.
func TestMemoryOfNodesThatHaveGone(t *testing.T) {
	const (
		// nodes exceeds the number of entries that a registry holds.
		nodes = 40_000
		// growthLimit is a fraction of what the servers of so many nodes take.
		growthLimit = 2 << 20
	)
	heap := func() uint64 {
		runtime.GC()
		runtime.GC() // what the first one finds unreachable may be freed only by the next
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return s.HeapAlloc
	}
	r, now := registry.New(), time.Unix(1_790_000_000, 0)
	instance := strings.Repeat("x", 200)
	replaceAll := func(net int) uint64 {
		for i := range nodes {
			e := registry.Entry{
				Node: fmt.Sprintf("10.%d.%d.%d:7620", net, i>>8, i&0xff), Incarnation: 1, Service: "svc",
				Instance: fmt.Sprint(i) + instance, Born: 1, State: readiness.Draining,
			}
			if e.Validate(now) != nil || !r.Merge(now, e) {
				require.Fail(t, "entry refused")
			}
			now = now.Add(10 * time.Second)
			r.Drop(now, e.Node)
		}
		return heap()
	}
	first := replaceAll(1)
	second := replaceAll(2)
	t.Logf("%d nodes, heap grew %d KB", nodes, (second-min(second, first))>>10)
	require.Zero(t, r.Len())
	require.Less(t, second-min(second, first), uint64(growthLimit))
	runtime.KeepAlive(r)
}
