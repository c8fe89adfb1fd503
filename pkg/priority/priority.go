package priority

import (
	"github.com/cespare/xxhash/v2"

	"github.com/papayapath/papayapath/pkg/importance"
)

// hashBits is the width of the hash, the lower part of a Priority.
const hashBits = 8

// Steps is the number of priorities within one importance level.
const Steps = 1 << hashBits

// Priority holds the importance of a request in its upper bits and a hash of
// the root request in its lower bits. All hops see the same value, so they
// agree on which requests to reject. Smaller values are rejected first.
type Priority uint16

// New returns the priority of the root request with the given ID.
func New(level importance.Level, request string) Priority {
	hash := Priority(xxhash.Sum64String(request) >> (64 - hashBits))
	return Priority(level)<<hashBits | hash
}

// Lowest returns the lowest priority of a level.
func Lowest(level importance.Level) Priority { return Priority(level) << hashBits }

// Level returns the importance of the request.
func (p Priority) Level() importance.Level { return importance.Level(p >> hashBits) }
