package node

import (
	"time"

	"github.com/papayapath/papayapath/pkg/declarations"
	"github.com/papayapath/papayapath/pkg/guard"
	"github.com/papayapath/papayapath/pkg/membership"
	"github.com/papayapath/papayapath/pkg/stream"
)

// Streams lists the streams of the log that a node follows, besides the reads
// that it asks for by itself.
func Streams() []string {
	return []string{declarations.Stream, membership.Stream, OwnersStream}
}

// From returns the offset from which a stream is to be read on.
func (n *Node) From(name string) int64 {
	switch name {
	case declarations.Stream:
		return n.declarations.From()
	case OwnersStream:
		return n.owners.from()
	default:
		return n.control.from
	}
}

// Follow takes the result of a read of a followed stream from the offset that
// From returned.
func (n *Node) Follow(now time.Time, name string, from int64, b stream.Batch, out *Output) {
	switch name {
	case declarations.Stream:
		n.declarations.Log(now, b)
	case membership.Stream:
		n.membership.Log(now, b.Records)
		n.control.follow(b)
		n.applyMembers(now, out)
	case OwnersStream:
		n.owners.apply(uint64(from), b)
	}
	n.reportChanges(now, out)
}

// follow moves the place in the stream of members, which starts again with a
// log that was replaced.
func (c *control) follow(b stream.Batch) {
	if b.Generation != c.generation {
		c.generation, c.from = b.Generation, 0
		if len(b.Records) > 0 && b.Records[0].Offset > 0 {
			return
		}
	}
	c.from = max(c.from, b.First)
	if len(b.Records) > 0 {
		c.from = b.Records[len(b.Records)-1].Offset + 1
	}
	c.from = min(c.from, b.End)
}

// Batch takes the result of a read that Output.Reads asked for. started is
// when the read began.
func (n *Node) Batch(now, started time.Time, from int64, b stream.Batch, out *Output) {
	n.keys.read(now, started, from, b)
	n.owners.apply(uint64(from), b)
	n.reportChanges(now, out)
}

// ReadFailed takes the failure of a read that Output.Reads asked for.
func (n *Node) ReadFailed(now time.Time) { n.keys.readFailed(now) }

// Appended takes the result of an append.
func (n *Node) Appended(now time.Time, a Append, result guard.Result) {
	if a.Stream == OwnersStream {
		n.keys.appended(now, a.ID, result)
	}
}

// reportChanges reports what has changed since the last call.
func (n *Node) reportChanges(now time.Time, out *Output) {
	if !n.control.ready && n.declarations.Ready() {
		n.control.ready = true
		out.Events = append(out.Events, Event{Kind: BecameReady})
	}
	if v := n.declarations.Version(); v != n.control.version {
		n.control.version = v
		n.keys.setWindow(now, n.longestWindow())
		out.Events = append(out.Events, Event{Kind: VersionChanged, Detail: v.String()})
	}
	for _, r := range n.declarations.Results() {
		if r.Err != nil {
			out.Events = append(out.Events, Event{Kind: RecordRejected, Detail: r.Err.Error()})
		}
	}
	if epoch := n.keys.epoch(); epoch != n.control.epoch {
		n.control.epoch = epoch
		out.Events = append(out.Events, Event{Kind: EpochChanged, Detail: n.keys.describe()})
	}
}
