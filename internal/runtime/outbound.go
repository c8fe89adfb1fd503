package runtime

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/papayapath/papayapath/internal/exchange"
	"github.com/papayapath/papayapath/internal/gateway"
	"github.com/papayapath/papayapath/internal/link"
	"github.com/papayapath/papayapath/internal/trace"
	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/dispatcher"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/node"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// Call starts a call that came to a gateway.
func (r *Runtime) Call(q *gateway.Request) (*exchange.Exchange, func()) {
	e := exchange.New(q.Body)
	request := newRequest(q)
	var id message.CallID
	ready := r.isOpen()
	r.do(func(now time.Time, out *node.Output) {
		if ready = ready && r.node.Ready(); !ready {
			return
		}
		if q.Internal {
			r.setParent(request, q.Parent)
		}
		id = r.node.Arrive(now, request, out)
		r.calls[id] = &outbound{exchange: e}
	})
	if !ready {
		e.Finish(node.Unready(request))
		return e, func() {}
	}
	return e, func() {
		r.do(func(now time.Time, out *node.Output) { r.node.Cancel(now, id, out) })
	}
}

// newRequest returns what the dispatcher needs to know of a request.
func newRequest(q *gateway.Request) *dispatcher.Request {
	request := &dispatcher.Request{
		Service: q.Service, Method: q.Method, Path: q.Path, Header: q.Header,
		Length: int64(len(q.Body)), Digest: xxhash.Sum64(q.Body), Content: content(q),
		Customer: q.Customer, Root: q.Root, Key: q.Key, Timeout: q.Timeout,
		Trace: trace.Parse(q.Trace),
	}
	if issued, ok := message.IssueTime(q.Key); ok {
		request.Issued = issued
	}
	if q.Internal {
		request.Origin = dispatcher.Backend
	}
	return request
}

// content returns the digest of what a request asks for. The parts are
// separated, so that different requests can't run together to the same bytes.
func content(q *gateway.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{q.Service, q.Method, q.Path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(q.Body)
	return d.Sum64()
}

// setParent finds the run for which the own backend server makes a call. A
// call id that no run has is worth nothing.
func (r *Runtime) setParent(request *dispatcher.Request, parent string) {
	id, err := message.ParseCallID(parent)
	if err != nil {
		return
	}
	if offer, ok := r.node.Parent(id); ok {
		request.Parent = offer
	}
}

// enterOffer notes that an attempt goes to a node.
func (r *Runtime) enterOffer(a action.Action) func() {
	call, ok := r.calls[a.Offer.Call]
	if !ok {
		return nil
	}
	if call.cancel != nil {
		call.cancel()
	}
	ctx, cancel := context.WithCancel(r.ctx)
	call.cancel = cancel
	offer := *a.Offer // the acceptor of this node would change the dispatcher's
	return func() {
		r.tasks.Go(func() {
			defer cancel()
			r.attempt(ctx, a.To, &offer, call.exchange)
		})
	}
}

// cancelOffer ends the exchange with the node that was asked.
func (r *Runtime) cancelOffer(id message.CallID) {
	if call, ok := r.calls[id]; ok && call.cancel != nil {
		call.cancel()
	}
}

// enterFinish ends a call. A call that is refused as it arrives is not in the
// table yet; Call enters it in the same decision.
func (r *Runtime) enterFinish(a action.Action) func() {
	call, ok := r.calls[a.Answer.Call]
	if !ok {
		return nil
	}
	delete(r.calls, a.Answer.Call)
	answer := *a.Answer
	return func() {
		call.exchange.Finish(&answer)
		if call.cancel != nil {
			call.cancel()
		}
	}
}

// attempt sends an offer and takes what comes back.
func (r *Runtime) attempt(ctx context.Context, to instance.ID, o *message.Offer, e *exchange.Exchange) {
	span := r.tracer.Start("call "+o.Service, o)
	end := message.Answer{Outcome: outcome.Unknown, Reason: outcome.Broken}
	defer func() { span.End(end.Outcome, end.Reason) }()
	if !e.Begin(o.Attempt) {
		r.do(func(now time.Time, out *node.Output) { r.node.Cancel(now, o.Call, out) })
		return
	}
	sink := exchange.NewAttempt(e, o.Attempt, func(a *message.Answer) {
		end = *a
		if a.Outcome != outcome.Complete && e.Committed() {
			r.breakOff(o.Call, e)
			return
		}
		r.do(func(now time.Time, out *node.Output) { r.node.Answer(now, to, a, out) })
	})
	if to == r.self {
		r.Offer(ctx, to, o, e.Body(), sink)
		return
	}
	err := r.link.Offer(ctx, to, o, e.Body(), sink)
	if err == nil {
		return
	}
	if e.Committed() {
		r.breakOff(o.Call, e)
		return
	}
	var failed *link.SendError
	sent := !errors.As(err, &failed) || failed.Sent()
	r.do(func(now time.Time, out *node.Output) { r.node.Lost(now, to, o.Call, o.Attempt, sent, out) })
}

// breakOff ends a call whose answer broke off after its start was passed on.
// No other attempt can take its place, so the caller's connection is cut.
func (r *Runtime) breakOff(call message.CallID, e *exchange.Exchange) {
	e.Finish(&message.Answer{Outcome: outcome.Unknown, Reason: outcome.Broken})
	r.do(func(now time.Time, out *node.Output) { r.node.Cancel(now, call, out) })
}
