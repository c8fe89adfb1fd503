package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// timingRounds is the number of repetitions of a timing. The fastest counts,
// because other processes can only increase the time.
const timingRounds = 9

// heapGrowth returns the bytes of heap that the result of build keeps in use.
func heapGrowth(build func() any) float64 {
	before := heapInUse()
	kept := build()
	after := heapInUse()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func heapInUse() uint64 {
	// The second collection frees objects held by finalizers and sync.Pool.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// nanosPerCall returns the mean time of a call in nanoseconds, over n calls of
// the fastest round.
func nanosPerCall(n int, call func()) float64 {
	var best time.Duration
	for i := range timingRounds {
		startedAt := time.Now()
		for range n {
			call()
		}
		if took := time.Since(startedAt); i == 0 || took < best {
			best = took
		}
	}
	return float64(best.Nanoseconds()) / float64(n)
}

// cpuTime returns the user and system time of the process, or 0 if it is not
// available.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
