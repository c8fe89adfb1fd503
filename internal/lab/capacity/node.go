package capacity

import (
	"time"

	"github.com/papayapath/papayapath/pkg/declarations"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/membership"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/node"
	"github.com/papayapath/papayapath/pkg/node/shares/allocator"
	"github.com/papayapath/papayapath/pkg/stream"
)

const ticksPerSecond = int(time.Second / tickInterval)

// measureNodes measures the control work of a complete node without calls.
func measureNodes(divisor int) ([]Series, error) {
	sizes := divideSizes(divisor, 900, 1800, 3600, 7200)
	ticks := Series{Name: "whole node at rest, ticks and acks", Axis: "members", Unit: "µs/s per node"}
	for _, n := range sizes {
		d, err := newNodeDriver(n)
		if err != nil {
			return nil, err
		}
		ticks.add(n, nanosPerCall(ticksPerSecond, d.tick)/1000*float64(ticksPerSecond))
	}
	allocatorChoice := newSeries("choice of a customer's allocators", "members", "µs", sizes, func(n int) float64 {
		all := memberIDs(n)
		return nanosPerCall(max(100/divisor, 1), func() { _, _ = allocator.Nodes(customerName(0), all) }) / 1000
	})
	return []Series{ticks.withFit(), allocatorChoice}, nil
}

func memberIDs(n int) []instance.ID {
	all := make([]instance.ID, n)
	for i := range all {
		all[i] = id(i)
	}
	return all
}

// nodeDriver drives a node whose peers acknowledge all probes.
type nodeDriver struct {
	*node.Node
	now time.Time
	out node.Output
	log []stream.Record // records of the owners stream
}

// newNodeDriver returns a node that has caught up with the log, knows n members
// and has propagated their joins.
func newNodeDriver(n int) (*nodeDriver, error) {
	d := &nodeDriver{Node: node.New(id(measuredNode), node.WithPlace("region-0", domainName(0))), now: start}
	var records []stream.Record
	for i := range n {
		data, err := message.Encode(message.MemberRecord{ID: id(i), Metadata: newMetadata(i)})
		if err != nil {
			return nil, err
		}
		records = append(records, stream.Record{Offset: int64(i), Data: data})
	}
	if err := d.Announce(d.now, serviceName(0), "127.0.0.1:80", serverSlots, &d.out); err != nil {
		return nil, err
	}
	// A node that has caught up with the declarations does not request them from
	// new members.
	first, err := changeRecord(0)
	if err != nil {
		return nil, err
	}
	d.Follow(d.now, declarations.Stream, 0, stream.Batch{Generation: 1, End: 1, Records: []stream.Record{first}}, &d.out)
	d.Follow(d.now, membership.Stream, 0, stream.Batch{Generation: 1, End: int64(n), Records: records}, &d.out)
	for end := d.now.Add(settleTime); d.now.Before(end); {
		d.tick()
	}
	return d, nil
}

// tick announces the backend server, ticks the node and acknowledges its probes.
func (d *nodeDriver) tick() {
	d.now = d.now.Add(tickInterval)
	d.out.Reset()
	_ = d.Announce(d.now, serviceName(0), "127.0.0.1:80", serverSlots, &d.out)
	d.Tick(d.now, &d.out)
	for _, r := range d.out.Reads {
		d.read(r)
	}
	for _, a := range d.out.Appends {
		d.append(a)
	}
	for _, s := range d.out.Sends {
		if p := s.Control.Probe; p != nil {
			ack := message.Control{Ack: &message.Ack{Seq: p.Seq, Target: s.To}}
			d.Receive(d.now, s.To, ack, &node.Output{})
		}
	}
}

// read serves a read of the owners stream.
func (d *nodeDriver) read(r node.Read) {
	end := int64(len(d.log))
	b := stream.Batch{Generation: 1, End: end, Records: d.log[min(r.From, end):]}
	d.Batch(d.now, d.now, r.From, b, &node.Output{})
}

func (d *nodeDriver) append(a node.Append) {
	if a.Stream != node.OwnersStream {
		return
	}
	d.log = append(d.log, stream.Record{Offset: int64(len(d.log)), ID: a.ID, Data: a.Data})
}
