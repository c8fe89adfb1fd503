package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// rounds is the number of repetitions of a timing. The fastest counts, since
// other processes can only slow one down.
const rounds = 9

// heapOf returns the bytes of heap that stay in use after build.
func heapOf(build func() any) float64 {
	before := inUse()
	kept := build()
	after := inUse()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func inUse() uint64 {
	// The second collection frees what finalizers and pools kept.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// timeOf returns the time of one step in ns: the mean of n steps in the
// fastest round.
func timeOf(n int, step func()) float64 {
	var best time.Duration
	for i := range rounds {
		began := time.Now()
		for range n {
			step()
		}
		if took := time.Since(began); i == 0 || took < best {
			best = took
		}
	}
	return float64(best.Nanoseconds()) / float64(n)
}

// processor returns the time that the process has spent on all processors.
func processor() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
