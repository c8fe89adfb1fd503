package capacity

import (
	"math/rand/v2"
	"time"

	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/declarations"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/stream"
)

const (
	// logReaders is the number of nodes that read a change from the log, two per
	// failure domain. The others receive it by gossip.
	logReaders = 2 * domains
	// propagationTimeout bounds the time for a change to reach all nodes.
	propagationTimeout = 17 * time.Second
)

// gossipNetwork connects the declaration states of nodes under virtual time. A
// message takes one tick.
type gossipNetwork struct {
	now      time.Time
	states   []*declarations.State
	ids      []instance.ID
	index    map[instance.ID]int
	inFlight []delivery
	bytes    int
}

type delivery struct {
	from, to int
	control  message.Control
}

// measureGossip measures the propagation of a change to nodes of which only some
// read the log.
func measureGossip(divisor int) ([]Series, error) {
	const by = "nodes"
	propagation := Series{Name: "change by gossip from 14 readers, at the last node", Axis: by, Unit: "ms"}
	sentBytes := Series{Name: "change by gossip from 14 readers, sent", Axis: by, Unit: "B per node"}
	for _, n := range divideSizes(divisor, 512, 1024, 2048, 4096) {
		g, err := newGossipNetwork(max(n, logReaders))
		if err != nil {
			return nil, err
		}
		d, err := g.propagateChange()
		if err != nil {
			return nil, err
		}
		propagation.add(n, microseconds(d)/1000)
		sentBytes.add(n, float64(g.bytes)/float64(n))
	}
	return []Series{propagation.withFit(), sentBytes.withFit()}, nil
}

// newGossipNetwork returns n nodes with the same contract in force.
func newGossipNetwork(n int) (*gossipNetwork, error) {
	g := &gossipNetwork{now: start, ids: memberIDs(n), index: make(map[instance.ID]int, n)}
	first, err := changeRecord(0)
	if err != nil {
		return nil, err
	}
	for i := range n {
		g.index[g.ids[i]] = i
		s := declarations.New(g.ids[i], rand.New(rand.NewPCG(uint64(i), 1)))
		s.Log(g.now, stream.Batch{Generation: 1, End: 1, Records: []stream.Record{first}})
		s.Tick(g.now.Add(-time.Duration(i)*time.Millisecond), g.ids, nil)
		g.states = append(g.states, s)
	}
	return g, nil
}

func changeRecord(offset int64) (stream.Record, error) {
	change := &message.Change{Operator: "operator", Contracts: []contract.Document{newDocument(int(offset), targetServices)}}
	if offset > 0 {
		change.Base = stream.At(1, offset-1)
	}
	data, err := message.Encode(message.DeclarationRecord{Change: change})
	return stream.Record{Offset: offset, ID: customerName(int(offset)), Data: data}, err
}

// propagateChange delivers a change to the log readers and returns the time until
// the last node has applied it, or propagationTimeout if some node has not.
func (g *gossipNetwork) propagateChange() (time.Duration, error) {
	second, err := changeRecord(1)
	if err != nil {
		return 0, err
	}
	for i := range logReaders {
		s := g.states[i*len(g.states)/logReaders]
		s.Log(g.now, stream.Batch{Generation: 1, End: 2, Records: []stream.Record{second}})
	}
	startedAt := g.now
	for g.now.Sub(startedAt) < propagationTimeout && !g.converged() {
		g.now = g.now.Add(tickInterval)
		if err := g.advance(); err != nil {
			return 0, err
		}
	}
	return g.now.Sub(startedAt), nil
}

func (g *gossipNetwork) converged() bool {
	for _, s := range g.states {
		if s.Version() != stream.At(1, 1) {
			return false
		}
	}
	return true
}

// advance delivers the messages of the previous tick and ticks each node.
func (g *gossipNetwork) advance() error {
	arrived := g.inFlight
	g.inFlight = nil
	for _, d := range arrived {
		if err := g.send(d.to, g.states[d.to].Receive(g.now, g.ids[d.from], d.control, nil)); err != nil {
			return err
		}
	}
	for i, s := range g.states {
		if err := g.send(i, s.Tick(g.now, g.ids, nil)); err != nil {
			return err
		}
	}
	return nil
}

func (g *gossipNetwork) send(from int, sends []declarations.Send) error {
	for _, s := range sends {
		data, err := encodeFrame(g.ids[from], s.Control)
		if err != nil {
			return err
		}
		g.bytes += len(data)
		g.inFlight = append(g.inFlight, delivery{from: from, to: g.index[s.To], control: s.Control})
	}
	return nil
}
