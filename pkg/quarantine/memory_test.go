package quarantine_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/quarantine"
)

// Guards against another node that takes the memory of a node with suspicions: a
// message may have 4 MiB, and the table keeps the names of customers.
func TestMemoryOfLongNames(t *testing.T) {
	const (
		suspicions, nameLength = 32, 1 << 20
		memoryLimit            = 16 << 20
	)
	heap := func() uint64 {
		runtime.GC()
		runtime.GC() // what the first one finds unreachable may be freed only by the next
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return s.HeapAlloc
	}
	q, now := quarantine.New(quarantine.WithoutIsolation()), time.Unix(1_790_000_000, 0)
	before := heap()
	for i := range suspicions {
		q.Merge(now, message.Suspicion{
			Customer: fmt.Sprint(i) + strings.Repeat("x", nameLength), Content: uint64(i), Crashes: []message.Crash{{ID: 1, TTL: time.Minute}},
		})
	}
	after := heap()
	t.Logf("%d suspicions, heap grew %d KB", suspicions, (after-min(after, before))>>10)
	require.Less(t, after-min(after, before), uint64(memoryLimit))
	runtime.KeepAlive(q)
}
