package node

import (
	"time"

	"github.com/papayapath/papayapath/pkg/guard"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/ownership"
	"github.com/papayapath/papayapath/pkg/stream"
)

// OwnersStream is the name of the stream that holds owner tables.
const OwnersStream = "owners"

// owners holds the owner tables of all services, for the caller side.
type owners struct {
	tables     map[string]*ownership.Table
	generation uint64
	next       uint64
	newest     uint64 // newest epoch that an answer mentioned
}

func newOwners() *owners { return &owners{tables: make(map[string]*ownership.Table)} }

// Owner returns the owner of a key of a service and the epoch of its table.
func (o *owners) Owner(service, key string) (instance.ID, uint64, bool) {
	t, ok := o.tables[service]
	if !ok {
		return instance.ID{}, 0, false
	}
	return t.Owner(key)
}

func (o *owners) from() int64 { return int64(o.next) }

func (o *owners) heard(epoch uint64) { o.newest = max(o.newest, epoch) }

// apply takes a batch that was read from an offset on. Each table gets the
// same batch and picks the records of its own service. A batch of an older
// generation, or one that leaves out records, changes nothing.
func (o *owners) apply(from uint64, b stream.Batch) {
	if b.Generation < o.generation {
		return
	}
	if b.Generation > o.generation {
		o.generation, o.next = b.Generation, 0
	}
	if from > o.next && from > uint64(b.First) {
		return
	}
	batch := ownerBatch(from, b)
	for _, e := range batch.Entries {
		if _, ok := o.tables[e.Record.Service]; !ok {
			o.tables[e.Record.Service] = ownership.New(e.Record.Service)
		}
	}
	for _, t := range o.tables {
		own := batch
		own.From = min(batch.From, t.Next()) // records before it are of other services
		t.Apply(own)
	}
	o.next = max(o.next, batch.Next)
	if batch.End < o.next {
		o.next = 0 // the log went back
	}
}

// ownerBatch decodes the records of a read from the offset from on. Records
// that can't be decoded are left out, as no table counts them.
func ownerBatch(from uint64, b stream.Batch) ownership.Batch {
	batch := ownership.Batch{
		Generation: b.Generation, First: uint64(b.First), End: uint64(b.End),
		From: max(from, uint64(b.First)),
	}
	batch.Next = min(batch.From, batch.End)
	for _, r := range b.Records {
		batch.Next = uint64(r.Offset) + 1
		record, err := message.Decode[message.OwnerRecord](r.Data)
		if err != nil {
			continue
		}
		batch.Entries = append(batch.Entries, ownership.Entry{Offset: uint64(r.Offset), Record: record})
	}
	return batch
}

// receiveOwners takes the messages between the servers of one service.
func (n *Node) receiveOwners(now time.Time, from instance.ID, m message.Control, out *Output) {
	g := n.keys.guard
	if g == nil {
		return
	}
	switch {
	case m.PromiseRequest != nil:
		p := g.PromiseRequest(now, *m.PromiseRequest)
		out.Sends = append(out.Sends, message.Send{To: from, Control: message.Control{Promise: &p}})
	case m.Promise != nil:
		g.Promise(now, *m.Promise)
	case m.TableRequest != nil:
		if s, ok := g.Snapshot(); ok && m.TableRequest.Service == g.Service() {
			out.Sends = append(out.Sends, message.Send{To: from, Control: message.Control{OwnerSnapshot: &s}})
		}
	case m.OwnerSnapshot != nil:
		g.Restore(now, *m.OwnerSnapshot)
	}
}

// tickOwners starts the guard once the own service is known, and carries out
// what it asks for. Every service has a guard: a run elsewhere may make child
// calls to it that no contract lists and that must not run twice.
func (n *Node) tickOwners(now time.Time, out *Output) {
	if n.keys.guard == nil && n.backend.present {
		n.keys.start(now, n.backend.service, n.owning())
		n.keys.setWindow(now, n.longestWindow())
	}
	for _, e := range n.keys.tick(now) {
		n.perform(e, out)
	}
}

// longestWindow returns the longest window of a key in all contracts in force.
func (n *Node) longestWindow() time.Duration {
	var longest time.Duration
	for c := range n.declarations.Contracts {
		longest = max(longest, c.KeyWindow())
	}
	return longest
}

func (n *Node) perform(e guard.Effect, out *Output) {
	switch e.Kind {
	case guard.ReadLog:
		out.Reads = append(out.Reads, Read{Stream: OwnersStream, From: int64(e.From)})
	case guard.AppendRecord:
		data, err := message.Encode(e.Record)
		if err != nil {
			return // a record of IDs and short strings always encodes
		}
		out.Appends = append(out.Appends, Append{Stream: OwnersStream, ID: e.Record.ID, Data: data})
	case guard.AskPromise:
		request := e.Request
		out.Sends = append(out.Sends, message.Send{To: e.To, Control: message.Control{PromiseRequest: &request}})
	case guard.AskTable:
		n.siblings(func(id instance.ID) {
			request := message.TableRequest{Service: n.backend.service}
			out.Sends = append(out.Sends, message.Send{To: id, Control: message.Control{TableRequest: &request}})
		})
	}
}
