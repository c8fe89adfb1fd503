package memory

import (
	"runtime"
	"runtime/metrics"
	"sync"
)

const (
	// garbageFraction is the part of a budget that may be given back before the
	// garbage collector has to run.
	garbageFraction = 1.0 / 8
	// minGarbage is the least such size, in bytes.
	minGarbage = 1 << 20
	// cyclesMetric counts the completed collections.
	cyclesMetric = "/gc/cycles/total:gc-cycles"
)

// garbage counts the bytes that claims have given back and that the garbage collector
// may not have reclaimed yet. The collector paces itself by what it finds alive, which
// includes all that arrives while it runs: where other processes delay it, content that
// arrives quickly would use several times the budget.
type garbage struct {
	max   int64
	bytes int64 // guarded by the lock of the budget

	collecting sync.Mutex
	cycles     uint64 // completed collections at the last reset of bytes
}

// collectGarbage reclaims what claims have given back, unless the collector has done so
// by itself. Those who need memory meanwhile wait.
func (b *Budget) collectGarbage() {
	g := &b.garbage
	g.collecting.Lock()
	defer g.collecting.Unlock()
	b.mu.Lock()
	old := g.bytes
	b.mu.Unlock()
	if old < g.max {
		return
	}
	// Of the collections since the last reset, the first may have begun before it.
	if completedCycles() < g.cycles+2 {
		runtime.GC()
	}
	g.cycles = completedCycles()
	b.mu.Lock()
	g.bytes -= old
	b.mu.Unlock()
}

// completedCycles returns the number of collections that have been completed.
func completedCycles() uint64 {
	s := []metrics.Sample{{Name: cyclesMetric}}
	metrics.Read(s)
	if s[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return s[0].Value.Uint64()
}
