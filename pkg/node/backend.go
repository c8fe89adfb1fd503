package node

import (
	"time"

	"github.com/papayapath/papayapath/pkg/membership"
	"github.com/papayapath/papayapath/pkg/message"
)

// announceTimeout is how long a backend server may be silent before it is
// taken for gone. Backend servers announce themselves several times a second.
const announceTimeout = time.Second

// backend is what the node knows of its own backend server.
type backend struct {
	service  string
	address  string
	heard    time.Time
	present  bool
	draining bool
	joined   bool
}

// Announce takes the announcement of the own backend server: its service, its
// address and how many calls it runs at once. Repeated announcements are
// heartbeats. A server that restarted at another address counts as a new one.
// Announce returns a *ServiceError if the node already serves another service,
// since members never change theirs.
func (n *Node) Announce(now time.Time, service, address string, slots int, out *Output) error {
	if n.backend.service != "" && n.backend.service != service {
		return &ServiceError{own: n.backend.service, other: service}
	}
	if n.backend.present && n.backend.address != address {
		n.Lose(now, out)
	}
	n.backend.heard = now
	if n.backend.present {
		n.acceptor.Announce(now, service, slots)
		return nil
	}
	n.backend.service, n.backend.address, n.backend.present = service, address, true
	n.acceptor.Announce(now, service, slots)
	n.dispatcher.Join(now, n.self, service, n.domain)
	out.Events = append(out.Events, Event{Kind: BackendAnnounced, Detail: service + " at " + address})
	n.enrol(now, out)
	return nil
}

// enrol makes the node a member once its service is known.
func (n *Node) enrol(now time.Time, out *Output) {
	if n.backend.joined {
		return
	}
	n.backend.joined = true
	n.membership.Join(now, message.Metadata{
		Services: []string{n.backend.service}, Region: n.region, Domain: n.domain,
	})
	n.appendMember(out)
}

// appendMember appends the node's present record to the stream of members.
func (n *Node) appendMember(out *Output) {
	data, err := n.membership.Record()
	if err != nil {
		return // an instance.ID and short strings always encode
	}
	n.control.members++
	out.Appends = append(out.Appends, Append{
		Stream: membership.Stream, ID: n.recordID("member", n.control.members), Data: data,
	})
}

// Lose takes the news that the own backend server is gone.
func (n *Node) Lose(now time.Time, out *Output) {
	if !n.backend.present {
		return
	}
	n.backend.present = false
	start := len(out.Actions)
	out.Actions = n.acceptor.Withdraw(now, out.Actions)
	n.dispatcher.Leave(now, n.self)
	out.Events = append(out.Events, Event{Kind: BackendLost, Detail: n.backend.service})
	n.track(now, out, start)
	n.sendSuspicions(now, out)
}

// Drain takes the news that the own backend server is leaving: new calls are
// refused from now on, and those that run or wait are finished.
func (n *Node) Drain(now time.Time, out *Output) {
	if n.backend.draining {
		return
	}
	n.backend.draining = true
	start := len(out.Actions)
	out.Actions = n.acceptor.Drain(now, out.Actions)
	out.Sends = n.membership.Drain(now, out.Sends)
	n.dispatcher.Drain(now, n.self)
	n.track(now, out, start)
}

// Drained reports whether no call runs, waits or is open at the node.
func (n *Node) Drained() bool { return n.acceptor.Idle() && n.dispatcher.Open() == 0 }

// Leave spreads that the node is gone and appends its departure to the log.
func (n *Node) Leave(now time.Time, out *Output) {
	out.Sends = n.membership.Leave(now, out.Sends)
	if n.backend.joined {
		n.appendMember(out)
	}
}

// tickBackend gives up a backend server that has been silent for too long.
func (n *Node) tickBackend(now time.Time, out *Output) {
	if n.backend.present && !n.backend.draining && now.Sub(n.backend.heard) > announceTimeout {
		n.Lose(now, out)
	}
}
