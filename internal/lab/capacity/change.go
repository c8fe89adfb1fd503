package capacity

import (
	"math/rand/v2"
	"time"

	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/declarations"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
)

// changeRepetitions is the number of changes timed per size. The minimum counts.
const changeRepetitions = 50

// measureChanges measures the cost of a configuration change.
func measureChanges(divisor int) ([]Series, error) {
	const by = "contracts"
	sizes := divideSizes(divisor, 500, 1000, 2000, 4000)
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
		c, err := measureChange(n)
		if err != nil {
			return nil, err
		}
		for i, value := range []float64{c.recordBytes, c.messageBytes, c.messages, c.applyMicros, c.encodeMicros, c.receiveMicros, c.tableBytes} {
			series[i].add(n, value)
		}
	}
	for i := range series {
		series[i] = series[i].withFit()
	}
	return series, nil
}

// changeCost is the cost of one change at one node.
type changeCost struct {
	recordBytes   float64 // record in the log
	messageBytes  float64 // message to one peer
	messages      float64 // messages to peers
	applyMicros   float64 // applying the record
	encodeMicros  float64 // creating and encoding the messages
	receiveMicros float64 // decoding and applying a message
	tableBytes    float64 // whole table, as sent to a starting node
}

// measureChange publishes changes to a state of n contracts and propagates each
// to another state. It returns the sizes of the first change and the minimum of
// each time.
func measureChange(n int) (changeCost, error) {
	sender, receiver := newPublisher(n), declarations.New(id(0), rand.New(rand.NewPCG(2, 1)))
	var c changeCost
	table, err := transferTable(sender, receiver)
	if err != nil {
		return c, err
	}
	c.tableBytes = float64(table)
	peers := []instance.ID{id(0), id(1), id(2), id(3)}
	sender.Tick(start, peers, nil) // contracts in force at the start are not propagated
	for i := range changeRepetitions {
		sample, err := sender.applyChange(i%n, peers, receiver)
		if err != nil {
			return c, err
		}
		if i == 0 {
			sample.tableBytes = c.tableBytes
			c = sample
		}
		c.applyMicros, c.encodeMicros, c.receiveMicros = min(c.applyMicros, sample.applyMicros), min(c.encodeMicros, sample.encodeMicros), min(c.receiveMicros, sample.receiveMicros)
	}
	return c, nil
}

// applyChange publishes one changed contract and propagates it to receiver.
func (p *publisher) applyChange(customer int, peers []instance.ID, receiver *declarations.State) (changeCost, error) {
	size, took, err := p.publish([]contract.Document{newDocument(customer, targetServices)})
	if err != nil {
		return changeCost{}, err
	}
	c := changeCost{recordBytes: float64(size), applyMicros: microseconds(took)}
	startedAt := time.Now()
	var data []byte
	for _, s := range p.Tick(start, peers, nil) {
		if data, err = encodeFrame(id(measuredNode), s.Control); err != nil {
			return c, err
		}
		c.messages++
	}
	c.encodeMicros, c.messageBytes = microseconds(time.Since(startedAt)), float64(len(data))
	startedAt = time.Now()
	f, err := message.Decode[message.Frame](data)
	if err != nil {
		return c, err
	}
	receiver.Receive(start, id(measuredNode), *f.Control, nil)
	c.receiveMicros = microseconds(time.Since(startedAt))
	return c, nil
}

// transferTable sends the whole table to an empty state in reply to its digest
// and returns the size of the messages.
func transferTable(sender *publisher, receiver *declarations.State) (int, error) {
	size := 0
	digest := message.Control{DeclarationsDigest: &message.DeclarationsDigest{}}
	for _, s := range sender.Receive(start, id(0), digest, nil) {
		data, err := encodeFrame(id(measuredNode), s.Control)
		if err != nil {
			return 0, err
		}
		size += len(data)
		receiver.Receive(start, id(measuredNode), s.Control, nil)
	}
	return size, nil
}
