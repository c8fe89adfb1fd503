package term

import "time"

// Parts is the number of parts into which each limit is divided. With one allocator
// lost, three quarters of each limit remain, and customers usually send 0.6 of theirs.
const Parts = 4

// Record is the value of the newest record of a partition.
type Record struct {
	Holder      string // address of the node
	Incarnation int64  // of the node's process
	Number      uint64 // of the append among those of the process
	Generation  uint64 // of the log when the process read the record before this one
	Released    bool   // the holder allocates no longer
}

// Result is what is known of an append.
type Result uint8

// Results of an append.
const (
	Done     Result = iota // the record was appended
	Conflict               // the partition ended elsewhere; the record was not appended
	Rejected               // the log refused the call; the record was not appended
	Unknown                // there was no answer: the record may be there, or may still come
)

// Kind is the kind of an Action.
type Kind uint8

// Kinds of actions.
const (
	Wait   Kind = iota // nothing to do until Action.Until
	Read               // read the newest record, then call Term.Refreshed
	Append             // append Action.Record at Action.At, then call Term.Appended
)

// Action is what a node is to do next for a part.
type Action struct {
	Kind   Kind
	Until  time.Time // Wait: the time of the next call of Term.Next at the latest
	Record Record    // Append
	At     int64     // Append: the offset at which the partition has to end
}
