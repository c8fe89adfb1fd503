package peer

import (
	"sync/atomic"

	"github.com/papayapath/papayapath/pkg/frame"
)

// Traffic counts the bytes sent to other nodes by kind of frame. It is safe for
// concurrent use.
type Traffic struct {
	sent [frame.KindCount]atomic.Uint64
}

func (t *Traffic) add(kind frame.Kind, bytes int) {
	if kind < frame.KindCount {
		t.sent[kind].Add(uint64(bytes))
	}
}

// Sent returns the number of bytes sent in frames of a kind.
func (t *Traffic) Sent(kind frame.Kind) uint64 {
	if kind >= frame.KindCount {
		return 0
	}
	return t.sent[kind].Load()
}
