package capacity

import (
	"math/rand/v2"
	"time"

	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/declarations"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
)

// repeats is the number of changes by which one change is timed.
const repeats = 50

// changes measures what one change of the configuration takes.
func changes(scale int) ([]Series, error) {
	const by = "contracts"
	sizes := divide(scale, 500, 1000, 2000, 4000)
	series := []Series{
		{Name: "change, record in the log", Axis: by, Unit: "B"},
		{Name: "change, message to a peer", Axis: by, Unit: "B"},
		{Name: "change, messages to peers", Axis: by, Unit: "messages"},
		{Name: "change, apply a record", Axis: by, Unit: "µs"},
		{Name: "change, pass on", Axis: by, Unit: "µs"},
		{Name: "change, apply a message", Axis: by, Unit: "µs"},
		{Name: "whole table, message to a peer", Axis: by, Unit: "B"},
	}
	for _, n := range sizes {
		c, err := costOf(n)
		if err != nil {
			return nil, err
		}
		for i, value := range []float64{c.record, c.update, c.sends, c.apply, c.pass, c.receive, c.whole} {
			series[i].add(n, value)
		}
	}
	for i := range series {
		series[i] = series[i].fitted()
	}
	return series, nil
}

// cost is what one change takes at one node.
type cost struct {
	record  float64 // bytes of the record in the log
	update  float64 // bytes of the message to one peer
	sends   float64 // messages
	apply   float64 // µs to apply the record
	pass    float64 // µs to make and encode the messages
	receive float64 // µs to decode and apply a message
	whole   float64 // bytes of the whole table, for a node that starts
}

// costOf publishes changes to a state of n contracts and passes each on to
// another state. The fastest one counts.
func costOf(n int) (cost, error) {
	sender, receiver := newPublisher(n), declarations.New(id(0), rand.New(rand.NewPCG(2, 1)))
	var c cost
	table, err := wholeTable(sender, receiver)
	if err != nil {
		return c, err
	}
	c.whole = float64(table)
	peers := []instance.ID{id(0), id(1), id(2), id(3)}
	sender.Tick(start, peers, nil) // what is in force at the start is not passed on
	for i := range repeats {
		one, err := sender.change(i%n, peers, receiver)
		if err != nil {
			return c, err
		}
		if i == 0 {
			one.whole = c.whole
			c = one
		}
		c.apply, c.pass, c.receive = min(c.apply, one.apply), min(c.pass, one.pass), min(c.receive, one.receive)
	}
	return c, nil
}

// change publishes one changed contract and passes it on.
func (p *publisher) change(customer int, peers []instance.ID, receiver *declarations.State) (cost, error) {
	size, took, err := p.publish([]contract.Document{terms(customer, targetServices)})
	if err != nil {
		return cost{}, err
	}
	c := cost{record: float64(size), apply: micros(took)}
	began := time.Now()
	var data []byte
	for _, s := range p.Tick(start, peers, nil) {
		if data, err = frame(id(self), s.Control); err != nil {
			return c, err
		}
		c.sends++
	}
	c.pass, c.update = micros(time.Since(began)), float64(len(data))
	began = time.Now()
	f, err := message.Decode[message.Frame](data)
	if err != nil {
		return c, err
	}
	receiver.Receive(start, id(self), *f.Control, nil)
	c.receive = micros(time.Since(began))
	return c, nil
}

// wholeTable brings an empty state up to date by a digest, and returns the
// size of the message.
func wholeTable(sender *publisher, receiver *declarations.State) (int, error) {
	size := 0
	digest := message.Control{DeclarationsDigest: &message.DeclarationsDigest{}}
	for _, s := range sender.Receive(start, id(0), digest, nil) {
		data, err := frame(id(self), s.Control)
		if err != nil {
			return 0, err
		}
		size += len(data)
		receiver.Receive(start, id(self), s.Control, nil)
	}
	return size, nil
}
