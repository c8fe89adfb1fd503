package capacity

import (
	"time"

	"github.com/papayapath/papayapath/pkg/allocator"
	"github.com/papayapath/papayapath/pkg/declarations"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/membership"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/node"
	"github.com/papayapath/papayapath/pkg/stream"
)

// ticksPerSecond is how often a runtime ticks its node.
const ticksPerSecond = int(time.Second / step)

// nodes measures the control work of a whole node without calls.
func nodes(scale int) ([]Series, error) {
	sizes := divide(scale, 900, 1800, 3600, 7200)
	ticks := Series{Name: "whole node at rest, ticks and acks", Axis: "members", Unit: "µs/s per node"}
	for _, n := range sizes {
		v, err := newIdle(n)
		if err != nil {
			return nil, err
		}
		ticks.add(n, timeOf(ticksPerSecond, v.tick)/1000*float64(ticksPerSecond))
	}
	ranking := newSeries("choice of a customer's allocators", "members", "µs", sizes, func(n int) float64 {
		all := memberIDs(n)
		return timeOf(max(100/scale, 1), func() { _, _ = allocator.Nodes(customerName(0), all) }) / 1000
	})
	return []Series{ticks.fitted(), ranking}, nil
}

func memberIDs(n int) []instance.ID {
	all := make([]instance.ID, n)
	for i := range all {
		all[i] = id(i)
	}
	return all
}

// idle drives a node whose peers answer its probes.
type idle struct {
	*node.Node
	now time.Time
	out node.Output
	log []stream.Record // of the stream owners
}

// newIdle returns a node that has caught up with the log, knows n members and
// has settled.
func newIdle(n int) (*idle, error) {
	v := &idle{Node: node.New(id(self), node.WithPlace("region-0", domainName(0))), now: start}
	var records []stream.Record
	for i := range n {
		data, err := message.Encode(message.MemberRecord{ID: id(i), Metadata: facts(i)})
		if err != nil {
			return nil, err
		}
		records = append(records, stream.Record{Offset: int64(i), Data: data})
	}
	if err := v.Announce(v.now, serviceName(0), "127.0.0.1:80", slots, &v.out); err != nil {
		return nil, err
	}
	// A node that has caught up with the declarations greets no member.
	first, err := changeRecord(0)
	if err != nil {
		return nil, err
	}
	v.Follow(v.now, declarations.Stream, 0, stream.Batch{Generation: 1, End: 1, Records: []stream.Record{first}}, &v.out)
	v.Follow(v.now, membership.Stream, 0, stream.Batch{Generation: 1, End: int64(n), Records: records}, &v.out)
	for end := v.now.Add(settling); v.now.Before(end); {
		v.tick()
	}
	return v, nil
}

// tick announces the backend server, ticks the node and answers its probes.
func (v *idle) tick() {
	v.now = v.now.Add(step)
	v.out.Reset()
	_ = v.Announce(v.now, serviceName(0), "127.0.0.1:80", slots, &v.out)
	v.Tick(v.now, &v.out)
	for _, r := range v.out.Reads {
		v.read(r)
	}
	for _, a := range v.out.Appends {
		v.append(a)
	}
	for _, s := range v.out.Sends {
		if p := s.Control.Probe; p != nil {
			ack := message.Control{Ack: &message.Ack{Seq: p.Seq, Target: s.To}}
			v.Receive(v.now, s.To, ack, &node.Output{})
		}
	}
}

// read plays the log to the node's guard.
func (v *idle) read(r node.Read) {
	end := int64(len(v.log))
	b := stream.Batch{Generation: 1, End: end, Records: v.log[min(r.From, end):]}
	v.Batch(v.now, v.now, r.From, b, &node.Output{})
}

func (v *idle) append(a node.Append) {
	if a.Stream != node.OwnersStream {
		return
	}
	v.log = append(v.log, stream.Record{Offset: int64(len(v.log)), ID: a.ID, Data: a.Data})
}
