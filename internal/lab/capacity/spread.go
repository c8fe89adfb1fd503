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
	// readers is the number of nodes that get a change from the log: two in
	// each failure domain.
	readers = 2 * domains
	// patience bounds the time for a change to reach all nodes.
	patience = 17 * time.Second
)

// gossip connects the declarations of nodes under virtual time. A message
// takes one step.
type gossip struct {
	now    time.Time
	states []*declarations.State
	ids    []instance.ID
	index  map[instance.ID]int
	sent   []delivery
	bytes  int
}

type delivery struct {
	from, to int
	control  message.Control
}

// spread measures how a change reaches nodes of which only some read the log.
func spread(scale int) ([]Series, error) {
	const by = "nodes"
	took := Series{Name: "change by gossip from 14 readers, at the last node", Axis: by, Unit: "ms"}
	sent := Series{Name: "change by gossip from 14 readers, sent", Axis: by, Unit: "B per node"}
	for _, n := range divide(scale, 512, 1024, 2048, 4096) {
		g, err := newGossip(max(n, readers))
		if err != nil {
			return nil, err
		}
		d, err := g.change()
		if err != nil {
			return nil, err
		}
		took.add(n, micros(d)/1000)
		sent.add(n, float64(g.bytes)/float64(n))
	}
	return []Series{took.fitted(), sent.fitted()}, nil
}

// newGossip returns n nodes with the same contract in force.
func newGossip(n int) (*gossip, error) {
	g := &gossip{now: start, ids: memberIDs(n), index: make(map[instance.ID]int, n)}
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
	change := &message.Change{Operator: "operator", Contracts: []contract.Document{terms(int(offset), targetServices)}}
	if offset > 0 {
		change.Base = stream.At(1, offset-1)
	}
	data, err := message.Encode(message.DeclarationRecord{Change: change})
	return stream.Record{Offset: offset, ID: customerName(int(offset)), Data: data}, err
}

// change gives a change to the readers and returns the time until the last
// node has it, or patience if some node lacks it by then.
func (g *gossip) change() (time.Duration, error) {
	second, err := changeRecord(1)
	if err != nil {
		return 0, err
	}
	for i := range readers {
		s := g.states[i*len(g.states)/readers]
		s.Log(g.now, stream.Batch{Generation: 1, End: 2, Records: []stream.Record{second}})
	}
	began := g.now
	for g.now.Sub(began) < patience && !g.agreed() {
		g.now = g.now.Add(step)
		if err := g.pass(); err != nil {
			return 0, err
		}
	}
	return g.now.Sub(began), nil
}

func (g *gossip) agreed() bool {
	for _, s := range g.states {
		if s.Version() != stream.At(1, 1) {
			return false
		}
	}
	return true
}

// pass delivers the messages of the step before and ticks each node.
func (g *gossip) pass() error {
	arrived := g.sent
	g.sent = nil
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

func (g *gossip) send(from int, sends []declarations.Send) error {
	for _, s := range sends {
		data, err := frame(g.ids[from], s.Control)
		if err != nil {
			return err
		}
		g.bytes += len(data)
		g.sent = append(g.sent, delivery{from: from, to: g.index[s.To], control: s.Control})
	}
	return nil
}
