package priority

import (
	"github.com/cespare/xxhash/v2"

	"github.com/papayapath/papayapath/pkg/importance"
)

// hashBits is the width of the part of a Priority below the importance.
const hashBits = 8

// Steps is the number of distinct priorities within one importance level.
const Steps = 1 << hashBits

// Priority is the rank of a request: its importance in the upper bits and,
// below it, a hash of the root request. All hops see the same value, so that
// they agree on which requests to refuse. A larger value is refused later.
type Priority uint16

// New returns the priority of the root request with the given id.
func New(level importance.Level, request string) Priority {
	hash := Priority(xxhash.Sum64String(request) >> (64 - hashBits))
	return Priority(level)<<hashBits | hash
}

// Lowest returns the smallest priority of a level.
func Lowest(level importance.Level) Priority { return Priority(level) << hashBits }

// Level returns the importance of the request.
func (p Priority) Level() importance.Level { return importance.Level(p >> hashBits) }
