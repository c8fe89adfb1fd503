package node

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/papayapath/papayapath/pkg/acceptor"
	"github.com/papayapath/papayapath/pkg/callgraph"
	"github.com/papayapath/papayapath/pkg/declarations"
	"github.com/papayapath/papayapath/pkg/dispatcher"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/membership"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/node/shares/allocator"
	"github.com/papayapath/papayapath/pkg/quarantine"
)

// Node decides for one node process. It is not safe for concurrent use.
type Node struct {
	self     instance.ID
	region   string
	domain   string
	random   *rand.Rand
	contacts []netip.AddrPort

	dispatcher   *dispatcher.Dispatcher
	acceptor     *acceptor.Acceptor
	quarantine   *quarantine.Quarantine
	declarations *declarations.State
	membership   *membership.Membership
	allocator    *allocator.Allocator
	keys         *keyGuard
	owners       *owners
	children     map[message.CallID]message.CallID // child call to the run that made it
	graph        *callgraph.Graph
	backend      backend
	control      control
}

// Option sets a property of a Node.
type Option func(*Node)

// WithPlace sets the region and the failure domain of the instance.
func WithPlace(region, domain string) Option {
	return func(n *Node) { n.region, n.domain = region, domain }
}

// WithRandom sets the source of randomness. Without it, a fixed seed is used.
func WithRandom(r *rand.Rand) Option { return func(n *Node) { n.random = r } }

// WithContacts sets addresses at which other nodes may be found while the log
// is down.
func WithContacts(addresses ...netip.AddrPort) Option {
	return func(n *Node) { n.contacts = addresses }
}

// New returns the state of the node self, without a backend server.
func New(self instance.ID, options ...Option) *Node {
	n := &Node{
		self:      self,
		random:    rand.New(rand.NewPCG(1, 2)),
		allocator: allocator.New(),
		graph:     callgraph.New(),
		children:  make(map[message.CallID]message.CallID),
	}
	for _, o := range options {
		o(n)
	}
	n.quarantine = quarantine.New()
	n.owners = newOwners()
	n.keys = newKeyGuard(self)
	n.declarations = declarations.New(self, n.random)
	n.membership = membership.New(self, n.random, membership.WithContacts(n.contacts...))
	n.dispatcher = dispatcher.New(self,
		dispatcher.WithRandom(n.random),
		dispatcher.WithDomain(n.domain),
		dispatcher.WithContracts(n.declarations),
		dispatcher.WithOwners(n.owners),
	)
	n.acceptor = acceptor.New(self,
		acceptor.WithGuard(n.keys),
		acceptor.WithQuarantine(n.quarantine),
	)
	return n
}

// Self returns the node's ID.
func (n *Node) Self() instance.ID { return n.self }

// Ready reports whether the node has caught up with the configuration in
// force. Until then it refuses calls.
func (n *Node) Ready() bool { return n.declarations.Ready() }

// Tick does what is due at now. It is to be called every 10 to 20 ms.
func (n *Node) Tick(now time.Time, out *Output) {
	out.Actions = n.acceptor.Tick(now, out.Actions)
	out.Actions = n.dispatcher.Tick(now, out.Actions)
	n.track(now, out, 0)
	n.tickControl(now, out)
	n.tickOwners(now, out)
	n.reportChanges(now, out)
}
