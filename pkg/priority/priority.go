package priority

import (
	"github.com/cespare/xxhash/v2"

	"github.com/papayapath/papayapath/pkg/importance"
)

// hashBits is the width of the hash, the lower part of a Priority.
const hashBits = 8

const (
	// Steps is the number of priorities within one importance level.
	Steps = 1 << hashBits
	// levels is the number of importance levels, a power of two.
	levels = Priority(importance.Critical) + 1
	// customerSteps is the number of priorities within one importance of a customer.
	customerSteps = levels * Steps
	// Count is the number of distinct priorities.
	Count = levels * customerSteps
)

// Priority holds the importance of the customer in its upper bits, then that of the
// route, and a hash of the root request in its lower bits. All hops see the same value,
// so they agree on which requests to reject. Smaller values are rejected first.
type Priority uint16

// New returns the priority of the root request with the given ID.
func New(level importance.Level, request string) Priority {
	hash := Priority(xxhash.Sum64String(request) >> (64 - hashBits))
	return Priority(level)<<hashBits | hash
}

// Lowest returns the lowest priority of a level.
func Lowest(level importance.Level) Priority { return Priority(level) << hashBits }

// WithCustomer returns the priority of the request if it is made on behalf of a customer
// of the given importance. Without one, the importance of the customer is the lowest.
func (p Priority) WithCustomer(l importance.Level) Priority {
	return p%customerSteps + Priority(min(l, importance.Critical))*customerSteps
}

// WithLevel returns the priority of the request if its route has the given importance.
func (p Priority) WithLevel(l importance.Level) Priority {
	return p/customerSteps*customerSteps + Priority(min(l, importance.Critical))*Steps + p%Steps
}

// Level returns the importance of the route of the request.
func (p Priority) Level() importance.Level { return importance.Level(p % customerSteps / Steps) }

// Customer returns the importance of the customer. It exceeds importance.Critical only
// in a value of a faulty peer.
func (p Priority) Customer() importance.Level { return importance.Level(p / customerSteps) }
