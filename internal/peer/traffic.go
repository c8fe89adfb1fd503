package peer

import (
	"sync/atomic"

	"github.com/papayapath/papayapath/pkg/frame"
)

// Traffic counts the frames that are sent to other nodes, their bytes by kind, and
// the reads and writes of links. It is safe for concurrent use.
type Traffic struct {
	sent   [frame.KindCount]atomic.Uint64 // bytes
	frames [frame.KindCount]atomic.Uint64
	reads  atomic.Uint64
	writes atomic.Uint64
}

func (t *Traffic) addFrame(kind frame.Kind, bytes int) {
	if kind < frame.KindCount {
		t.sent[kind].Add(uint64(bytes))
		t.frames[kind].Add(1)
	}
}

// Sent returns the number of bytes sent in frames of a kind.
func (t *Traffic) Sent(kind frame.Kind) uint64 {
	if kind >= frame.KindCount {
		return 0
	}
	return t.sent[kind].Load()
}

// Frames returns the number of frames of a kind that have been sent.
func (t *Traffic) Frames(kind frame.Kind) uint64 {
	if kind >= frame.KindCount {
		return 0
	}
	return t.frames[kind].Load()
}

// Reads returns the number of reads of all links.
func (t *Traffic) Reads() uint64 { return t.reads.Load() }

// Writes returns the number of writes of all links.
func (t *Traffic) Writes() uint64 { return t.writes.Load() }
