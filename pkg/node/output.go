package node

import (
	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
)

// Output is what a Node asks its adapters to do. It is reused: Reset empties
// it and keeps its memory.
type Output struct {
	Actions []action.Action
	Sends   []message.Send
	Appends []Append
	Reads   []Read
	// Dropped lists instances that failed, so that connections to them can be
	// closed.
	Dropped []instance.ID
	Events  []Event
}

// Reset empties o.
func (o *Output) Reset() {
	clear(o.Actions)
	clear(o.Sends)
	clear(o.Appends)
	o.Actions = o.Actions[:0]
	o.Sends = o.Sends[:0]
	o.Appends = o.Appends[:0]
	o.Reads = o.Reads[:0]
	o.Dropped = o.Dropped[:0]
	o.Events = o.Events[:0]
}

// Append is a record to append to a stream of the log. Its result goes to
// Node.Appended.
type Append struct {
	Stream string
	ID     string
	Data   []byte
}

// Read asks for a read of a stream from an offset on. Its result goes to
// Node.Batch or Node.ReadFailed.
type Read struct {
	Stream string
	From   int64
}
