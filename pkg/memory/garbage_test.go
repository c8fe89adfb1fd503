package memory_test

import (
	"runtime"
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/memory"
)

// Guards against a process that ends for lack of memory while its budget is hardly used:
// content that arrives faster than the garbage collector, which other processes can
// delay, reclaims what has been released. Here the collector does not run by itself.
func TestReleasedContentIsReclaimed(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	const (
		budget      = 32 << 20
		size        = 1 << 20
		memoryLimit = budget + 16<<20 // that of TestLinkWithoutEnd
	)
	b := memory.New(budget)
	runtime.GC()
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 256 {
		c := b.Claim(memory.Frame, memory.Fixed, nil)
		require.NoError(t, c.Grow(size))
		content := make([]byte, size)
		runtime.ReadMemStats(&now)
		require.Less(t, now.HeapInuse-min(now.HeapInuse, before.HeapInuse), uint64(memoryLimit))
		runtime.KeepAlive(content)
		c.Release()
	}
}
