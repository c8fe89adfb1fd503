package node

import (
	"fmt"
	"slices"
	"time"

	"github.com/papayapath/papayapath/pkg/declarations"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/membership"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/node/shares/allocator"
	"github.com/papayapath/papayapath/pkg/stream"
)

// control is the state of the exchange of control messages.
type control struct {
	version   stream.Position // last version that was reported
	ready     bool
	epoch     uint64 // last owner table that was reported
	members   int    // records of the stream of members so far
	snapshots int
	greetings int // members asked for their version before the node was ready
	demands   []message.Demand
	// allocators caches the nodes that divide each customer's rate, since
	// ranking all members takes 0.8 ms at 7,200 of them.
	allocators map[string][]instance.ID
	news       []message.Suspicion
	all        []instance.ID

	// Place in the stream of members.
	generation uint64
	from       int64
}

// maxGreetings bounds the members that a starting node asks for their version.
// A few know the newest one; asking all would flood a node that starts last.
const maxGreetings = 8

// recordID returns the id of a record of this incarnation.
func (n *Node) recordID(kind string, sequence int) string {
	return fmt.Sprintf("%s-%s-%d", kind, n.self, sequence)
}

// Receive takes a control message of another node.
func (n *Node) Receive(now time.Time, from instance.ID, m message.Control, out *Output) {
	out.Sends = n.membership.Receive(now, from, m, out.Sends)
	out.Sends = n.declarations.Receive(now, from, m, out.Sends)
	switch {
	case m.PromiseRequest != nil || m.Promise != nil || m.TableRequest != nil || m.OwnerSnapshot != nil:
		n.receiveOwners(now, from, m, out)
	case m.Demand != nil:
		n.receiveDemand(now, from, *m.Demand, out)
	case m.Share != nil:
		n.dispatcher.Share(now, from, *m.Share)
	case m.Suspicion != nil:
		n.quarantine.Merge(now, *m.Suspicion)
	}
	n.applyMembers(now, out)
}

// receiveDemand answers a report of demand with a share. Demand of a customer
// without a contract is ignored.
func (n *Node) receiveDemand(now time.Time, from instance.ID, d message.Demand, out *Output) {
	c, ok := n.declarations.Contract(d.Customer)
	if !ok {
		return
	}
	share := n.allocator.Report(now, from, d, c.Rate())
	if from == n.self {
		n.dispatcher.Share(now, from, share)
		return
	}
	out.Sends = append(out.Sends, message.Send{To: from, Control: message.Control{Share: &share}})
}

// tickControl sends what is due to other nodes.
func (n *Node) tickControl(now time.Time, out *Output) {
	n.tickBackend(now, out)
	out.Sends = n.membership.Tick(now, out.Sends)
	n.applyMembers(now, out)
	out.Sends = n.declarations.Tick(now, n.membership.Partners(), out.Sends)
	n.allocator.Tick(now)
	n.sendDemands(now, out)
	n.sendSuspicions(now, out)
	n.appendSnapshot(now, out)
}

// sendDemands reports demand to the nodes that divide the customers' rates.
func (n *Node) sendDemands(now time.Time, out *Output) {
	n.control.demands = n.dispatcher.Demands(now, n.control.demands[:0])
	if len(n.control.demands) == 0 {
		return
	}
	for _, d := range n.control.demands {
		for _, to := range n.allocatorsOf(d.Customer) {
			if to == n.self {
				n.receiveDemand(now, to, d, out)
				continue
			}
			out.Sends = append(out.Sends, message.Send{To: to, Control: message.Control{Demand: &d}})
		}
	}
}

// allocatorsOf returns the nodes that divide the rate of a customer.
func (n *Node) allocatorsOf(customer string) []instance.ID {
	if nodes, ok := n.control.allocators[customer]; ok {
		return nodes
	}
	n.control.all = append(n.control.all[:0], n.membership.Peers()...)
	n.control.all = append(n.control.all, n.self)
	nodes, err := allocator.Nodes(customer, n.control.all)
	if err != nil {
		return nil // IDs of members always encode
	}
	if n.control.allocators == nil {
		n.control.allocators = make(map[string][]instance.ID)
	}
	n.control.allocators[customer] = nodes
	return nodes
}

// sendSuspicions tells the other servers of the own service which requests may
// crash them.
func (n *Node) sendSuspicions(now time.Time, out *Output) {
	n.control.news = n.quarantine.DrainChanges(now, n.control.news[:0])
	for _, s := range n.control.news {
		n.siblings(func(id instance.ID) {
			out.Sends = append(out.Sends, message.Send{To: id, Control: message.Control{Suspicion: &s}})
		})
	}
}

// siblings calls yield for the other members of the own service.
func (n *Node) siblings(yield func(instance.ID)) {
	for m := range n.membership.Members {
		if slices.Contains(m.Metadata.Services, n.backend.service) {
			yield(m.ID)
		}
	}
}

// appendSnapshot appends the declarations again before the log drops them.
func (n *Node) appendSnapshot(now time.Time, out *Output) {
	n.control.all = append(n.control.all[:0], n.membership.Peers()...)
	n.control.all = append(n.control.all, n.self)
	data, due := n.declarations.Snapshot(now, n.control.all)
	if !due {
		return
	}
	n.control.snapshots++
	out.Appends = append(out.Appends, Append{
		Stream: declarations.Stream, ID: n.recordID("snapshot", n.control.snapshots), Data: data,
	})
}

// applyMembers passes changes of the membership on to the parts that use it.
func (n *Node) applyMembers(now time.Time, out *Output) {
	changes := n.membership.Changes()
	for _, c := range changes {
		out.Events = append(out.Events, Event{Kind: MemberChanged, Detail: c.Kind.String() + " " + c.ID.String()})
		n.applyMember(now, c, out)
	}
	if len(changes) > 0 {
		clear(n.control.allocators)
		n.keys.setMembers(now, n.owning())
	}
}

func (n *Node) applyMember(now time.Time, c membership.Change, out *Output) {
	switch c.Kind {
	case membership.Joined:
		for _, service := range c.Metadata.Services {
			n.dispatcher.Join(now, c.ID, service, c.Metadata.Domain)
		}
		n.welcome(now, c, out)
	case membership.Draining:
		n.dispatcher.Drain(now, c.ID)
	case membership.Suspected:
		n.dispatcher.Suspect(now, c.ID)
	case membership.Restored:
		n.dispatcher.Restore(now, c.ID)
	case membership.Died, membership.Departed:
		n.dispatcher.Leave(now, c.ID)
		out.Dropped = append(out.Dropped, c.ID)
	}
}

// welcome exchanges versions with a member that was found, and tells it of
// suspects if it serves the own service.
func (n *Node) welcome(now time.Time, c membership.Change, out *Output) {
	if !n.declarations.Ready() && n.control.greetings < maxGreetings {
		n.control.greetings++
		out.Sends = n.declarations.Greet(now, c.ID, out.Sends)
	}
	if !slices.Contains(c.Metadata.Services, n.backend.service) {
		return
	}
	for _, s := range n.quarantine.Snapshot(now, nil) {
		out.Sends = append(out.Sends, message.Send{To: c.ID, Control: message.Control{Suspicion: &s}})
	}
}

// owning returns the members of the own service that may own keys.
func (n *Node) owning() []instance.ID {
	var ids []instance.ID
	for m := range n.membership.Members {
		if !m.Draining && slices.Contains(m.Metadata.Services, n.backend.service) {
			ids = append(ids, m.ID)
		}
	}
	if n.backend.present && !n.backend.draining {
		ids = append(ids, n.self)
	}
	return ids
}
