package node

import (
	"time"

	"github.com/papayapath/papayapath/pkg/acceptor"
	"github.com/papayapath/papayapath/pkg/dispatcher"
	"github.com/papayapath/papayapath/pkg/membership"
	"github.com/papayapath/papayapath/pkg/stream"
)

// Status is the state of a node at one moment, for operators and tests.
type Status struct {
	node *Node
	now  time.Time
}

// Status returns the state at now. It is valid until the node changes.
func (n *Node) Status(now time.Time) Status { return Status{node: n, now: now} }

// Version returns the version of the declarations in force.
func (s Status) Version() stream.Position { return s.node.declarations.Version() }

// Rate returns the contracted rate in force of a customer, in requests a
// second, or 0 if it has no contract.
func (s Status) Rate(customer string) float64 {
	c, ok := s.node.declarations.Contract(customer)
	if !ok {
		return 0
	}
	return c.Rate()
}

// Service returns the service of the own backend server, or an empty string.
func (s Status) Service() string { return s.node.backend.service }

// Present reports whether the own backend server announces itself.
func (s Status) Present() bool { return s.node.backend.present }

// Draining reports whether new work is refused.
func (s Status) Draining() bool { return s.node.backend.draining }

// Members returns what is known of the other members.
func (s Status) Members() []membership.Member {
	var all []membership.Member
	for m := range s.node.membership.Members {
		all = append(all, m)
	}
	return all
}

// Server returns the state of the server side.
func (s Status) Server() acceptor.Stats { return s.node.acceptor.Stats() }

// Caller returns the counts of the caller side.
func (s Status) Caller() dispatcher.Stats { return s.node.dispatcher.Stats() }

// Epoch returns the epoch of the owner table of the own service, or 0.
func (s Status) Epoch() uint64 { return s.node.keys.epoch() }

// Lease returns how much longer calls that must not run twice may run here. It
// is negative if they may not.
func (s Status) Lease() time.Duration {
	if s.node.keys.guard == nil || s.node.keys.guard.LeaseEnd().IsZero() {
		return -1
	}
	return s.node.keys.guard.LeaseEnd().Sub(s.now)
}

// Serving reports whether the node has caught up, knows as many members as
// given, itself included, and whether the keys of the own service have all
// their owners.
func (n *Node) Serving(members int) bool {
	if !n.Ready() || len(n.membership.Peers())+1 < members {
		return false
	}
	if n.keys.guard == nil {
		return !n.backend.present
	}
	owners, _ := n.keys.guard.Owners()
	return owners.Len() == len(n.owning())
}
