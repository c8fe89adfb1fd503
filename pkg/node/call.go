package node

import (
	"time"

	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/dispatcher"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/priority"
	"github.com/papayapath/papayapath/pkg/quarantine"
)

// suspicionLeft is how long the crashes count that an offer tells of. What the nodes
// where they happened know of them arrives much earlier.
const suspicionLeft = time.Minute

// Arrive takes a new call of a caller or of the own backend server and returns
// its id.
func (n *Node) Arrive(now time.Time, r *dispatcher.Request, out *Output) message.CallID {
	start := len(out.Actions)
	var id message.CallID
	id, out.Actions = n.dispatcher.Arrive(now, r, out.Actions)
	if r.Parent != nil {
		n.children[id] = r.Parent.Call
		n.graph.Call(routeOf(r.Parent), message.RouteOf(r.Service, r.Method, r.Path))
		out.Actions = n.acceptor.BeginChild(now, r.Parent.Call, out.Actions)
	}
	n.track(now, out, start)
	return id
}

// Unready returns the answer to a call that arrives before the node is ready.
// A key may have run at an earlier send through another node.
func Unready(r *dispatcher.Request) *message.Answer {
	a := &message.Answer{Outcome: outcome.NotRun, Reason: outcome.Unavailable}
	if r.Key != "" {
		a.Outcome = outcome.Unknown
	}
	return a
}

// Parent returns the offer of a call that runs on the own backend server.
func (n *Node) Parent(call message.CallID) (*message.Offer, bool) {
	return n.acceptor.InFlight(call)
}

// Offer takes a call that another node, or this one, offers to the own
// backend server.
func (n *Node) Offer(now time.Time, from instance.ID, o *message.Offer, out *Output) {
	start := len(out.Actions)
	if o.Crashes > 0 {
		// The retry may be here before the suspicion that its crash raised.
		n.quarantine.Report(now, quarantine.Request{Customer: o.Customer, Content: o.Content}, o.Crashes, suspicionLeft)
	}
	out.Actions = n.acceptor.Offer(now, from, o, out.Actions)
	n.track(now, out, start)
}

// Withdrawn takes the news that the node from no longer wants an attempt.
func (n *Node) Withdrawn(now time.Time, from instance.ID, c message.Cancel, out *Output) {
	start := len(out.Actions)
	out.Actions = n.acceptor.Cancel(now, from, c, out.Actions)
	n.track(now, out, start)
}

// Done takes the end of a run on the own backend server, with the body of the
// answer if it is short enough to be kept for a resend.
func (n *Node) Done(now time.Time, call message.CallID, attempt int, a message.Answer, body []byte, out *Output) {
	start := len(out.Actions)
	a.UnusedRetries = n.dispatcher.ParentDone(call)
	out.Actions = n.dispatcher.CancelChildren(now, call, out.Actions)
	n.keys.body = body
	out.Actions = n.acceptor.Done(now, call, attempt, a, out.Actions)
	n.keys.body = nil
	n.track(now, out, start)
	// A retry of a request that crashed its server must not reach another
	// server before the suspicion does.
	n.sendSuspicions(now, out)
}

// Answer takes the answer of another node, or of this one, to an attempt.
func (n *Node) Answer(now time.Time, from instance.ID, a *message.Answer, out *Output) {
	start := len(out.Actions)
	out.Actions = n.dispatcher.Answer(now, from, a, out.Actions)
	n.owners.heard(a.Epoch)
	n.track(now, out, start)
}

// Lost takes the failure of the stream of an attempt. sent is false only if
// provably nothing was handed over.
func (n *Node) Lost(now time.Time, to instance.ID, call message.CallID, attempt int, sent bool, out *Output) {
	start := len(out.Actions)
	out.Actions = n.dispatcher.Lost(now, to, call, attempt, sent, out.Actions)
	n.track(now, out, start)
}

// Cancel ends a call whose caller is gone.
func (n *Node) Cancel(now time.Time, call message.CallID, out *Output) {
	start := len(out.Actions)
	out.Actions = n.dispatcher.Cancel(now, call, out.Actions)
	n.track(now, out, start)
}

// track connects the two sides of the node: a run that starts may make child
// calls, a run that is aborted no longer may, and a child call that ends lets
// its parent go on. Answers tell the thresholds that the calls of their route
// meet further down the call graph. Actions from index start on are new; the loop also sees
// those that it causes itself.
func (n *Node) track(now time.Time, out *Output, start int) {
	for i := start; i < len(out.Actions); i++ {
		switch a := out.Actions[i]; a.Kind {
		case action.Run:
			n.dispatcher.ParentStart(now, a.Offer)
			n.graph.Run(routeOf(a.Offer))
		case action.Answer:
			a.Answer.DownstreamThreshold = n.graph.Floor(routeOf(a.Offer), func(r message.Route) priority.Priority {
				return n.dispatcher.Floor(now, r)
			})
		case action.Abort:
			n.dispatcher.ParentDone(a.Cancel.Call)
			out.Actions = n.dispatcher.CancelChildren(now, a.Cancel.Call, out.Actions)
		case action.Finish:
			n.endChild(now, a.Answer.Call)
		}
	}
}

func routeOf(o *message.Offer) message.Route {
	return message.RouteOf(o.Service, o.Method, o.Path)
}

func (n *Node) endChild(now time.Time, call message.CallID) {
	parent, ok := n.children[call]
	if !ok {
		return
	}
	delete(n.children, call)
	n.acceptor.EndChild(now, parent)
}

// Recycle returns an answer that its adapter no longer needs.
func (n *Node) Recycle(a *message.Answer) { n.acceptor.Recycle(a) }
