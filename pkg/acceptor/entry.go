package acceptor

import (
	"time"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/quarantine"
	"github.com/papayapath/papayapath/pkg/queue"
)

// state says where a call is.
type state uint8

const (
	queued  state = iota // in the queue of admitted calls
	suspect              // in the queue of suspects
	blocked              // held back by the guard
	running              // handed over to the backend server
)

// entry is one attempt of a call from its offer to its answer.
type entry struct {
	offer    *message.Offer
	from     instance.ID
	state    state
	handle   queue.Handle
	arrived  time.Time
	deadline time.Time
	started  time.Time
	resumed  time.Time // since when it has not waited for other services
	children int       // child calls in flight
	route    uint32    // place of its run times
	guarded  bool      // the guard allowed the run and expects Finish
	alone    bool      // it runs as a suspect
	older    *entry    // an earlier attempt of the same call, or the next free entry
}

func (e *entry) request() quarantine.Request {
	return quarantine.Request{Customer: e.offer.Customer, Content: e.offer.Content}
}

// entries finds calls by their ids and reuses the memory of finished ones.
type entries struct {
	byCall map[message.CallID]*entry
	free   *entry
}

func newEntries() entries { return entries{byCall: make(map[message.CallID]*entry)} }

// add returns a new entry for o, or false if the attempt is known already.
func (t *entries) add(from instance.ID, o *message.Offer) (*entry, bool) {
	newest := t.byCall[o.Call]
	for e := newest; e != nil; e = e.older {
		if e.offer.Attempt == o.Attempt {
			return nil, false
		}
	}
	e := t.take()
	*e = entry{offer: o, from: from, older: newest}
	t.byCall[o.Call] = e
	return e, true
}

func (t *entries) take() *entry {
	if t.free == nil {
		return new(entry)
	}
	e := t.free
	t.free = e.older
	return e
}

// find returns the attempt of a call, or nil.
func (t *entries) find(call message.CallID, attempt int) *entry {
	e := t.byCall[call]
	for e != nil && e.offer.Attempt != attempt {
		e = e.older
	}
	return e
}

// newestRun returns the last attempt of a call that runs, or nil.
func (t *entries) newestRun(call message.CallID) *entry {
	e := t.byCall[call]
	for e != nil && e.state != running {
		e = e.older
	}
	return e
}

// remove forgets e and keeps its memory for a later call.
func (t *entries) remove(e *entry) {
	call := e.offer.Call
	newest := t.byCall[call]
	switch {
	case newest != e:
		for newest.older != e {
			newest = newest.older
		}
		newest.older = e.older
	case e.older == nil:
		delete(t.byCall, call)
	default:
		t.byCall[call] = e.older
	}
	*e = entry{older: t.free}
	t.free = e
}
