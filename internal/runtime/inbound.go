package runtime

import (
	"context"
	"time"

	"github.com/papayapath/papayapath/internal/reply"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/ledger"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/node"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// command is what the acceptor decided about an inbound call: to run it, or
// how it ends.
type command struct {
	run *message.Offer
	// deadline of the run, reckoned when it was decided: a pause of the
	// process after the decision must not extend it.
	deadline time.Time
	answer   *message.Answer
	body     []byte // body of an answer that comes from the ledger
}

// inbound is an attempt that was offered to the own backend server.
type inbound struct {
	commands chan command // room for a run and an answer
	ctx      context.Context
	abort    context.CancelFunc // cancels the run
}

// Offer takes a call that a node offers to the own backend server, and answers
// it. ctx ends when that node withdraws the call.
func (r *Runtime) Offer(ctx context.Context, from instance.ID, o *message.Offer, body []byte, sink reply.Sink) {
	if !r.isOpen() {
		return
	}
	in := &inbound{commands: make(chan command, 2)}
	in.ctx, in.abort = context.WithCancel(r.ctx)
	defer in.abort()
	id := attemptID{o.Call, o.Attempt}
	known := false
	r.do(func(now time.Time, out *node.Output) {
		if _, known = r.inbound[id]; known {
			return
		}
		r.inbound[id] = in
		r.node.Offer(now, from, o, out)
	})
	if known {
		return // a repeated offer; the first one gets the answer
	}
	withdrawal := message.Cancel{Call: o.Call, Attempt: o.Attempt}
	stop := context.AfterFunc(ctx, func() {
		r.do(func(now time.Time, out *node.Output) { r.node.Withdrawn(now, from, withdrawal, out) })
	})
	defer stop()
	r.serve(in, body, sink)
	r.mu.Lock()
	delete(r.inbound, id)
	r.mu.Unlock()
}

// serve carries out the commands for an inbound call up to its answer.
func (r *Runtime) serve(in *inbound, body []byte, sink reply.Sink) {
	for {
		select {
		case c := <-in.commands:
			if c.answer != nil {
				finish(c, sink)
				return
			}
			r.runCall(in, c, body, sink)
		case <-r.ctx.Done():
			return
		}
	}
}

// finish passes the end of an answer on. An answer of the ledger also has a
// head and a body.
func finish(c command, sink reply.Sink) {
	if c.answer.Replayed {
		head := &message.Head{Status: c.answer.Status, Header: c.answer.Header, Length: int64(len(c.body))}
		if sink.Head(head) != nil || sink.Data(c.body) != nil {
			return
		}
	}
	_ = sink.Answer(c.answer)
}

// command passes a decision on to the goroutine of its inbound call.
func (r *Runtime) command(call message.CallID, attempt int, c command) {
	if in, ok := r.inbound[attemptID{call, attempt}]; ok {
		in.commands <- c
	}
}

func (r *Runtime) abort(c message.Cancel) {
	if in, ok := r.inbound[attemptID{c.Call, c.Attempt}]; ok {
		in.abort()
	}
}

// runCall hands a call to the backend server and reports how it ended.
func (r *Runtime) runCall(in *inbound, c command, body []byte, sink reply.Sink) {
	o := c.run
	span := r.tracer.Start("run "+o.Service, o)
	answer := message.Answer{Outcome: outcome.NotRun, Reason: outcome.Unavailable}
	keep := &keeper{Sink: sink, wanted: !o.Repeatable}
	client := r.backend.Load()
	if client != nil {
		answer = client.Do(in.ctx, o, c.deadline, body, keep)
	}
	span.End(answer.Outcome, answer.Reason)
	if client != nil && answer.Reason == outcome.Crashed && !client.Reachable(r.ctx) {
		r.loseBackend(client)
	}
	r.do(func(now time.Time, out *node.Output) {
		r.node.Done(now, o.Call, o.Attempt, answer, keep.body, out)
	})
}

// keeper keeps a copy of a short body for the ledger while it is passed on.
type keeper struct {
	reply.Sink
	wanted bool
	body   []byte
}

// Data keeps p and passes it on. A body that is too long for the ledger is
// kept just beyond its bound, by which the ledger knows that it is cut.
func (k *keeper) Data(p []byte) error {
	if k.wanted && len(k.body) <= ledger.DefaultBody {
		k.body = append(k.body, p[:min(len(p), ledger.DefaultBody+1-len(k.body))]...)
	}
	return k.Sink.Data(p)
}
