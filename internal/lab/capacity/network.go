package capacity

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/membership"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/stream"
)

// tickInterval is the time between two ticks of a node. A message takes one tick.
const tickInterval = 10 * time.Millisecond

// startSpread is the time over which node starts are spread, one probe interval.
const startSpread = 200 * time.Millisecond

// membershipNetwork connects the memberships of nodes under virtual time.
type membershipNetwork struct {
	now       time.Time
	nodes     []*peer
	byAddress map[netip.AddrPort]*peer
	inFlight  []packet // delivered at the next tick
	usage     usage
}

type peer struct {
	*membership.Membership
	id       instance.ID
	startsAt time.Time
	failed   bool
}

type packet struct {
	from instance.ID
	to   *peer
	data []byte
}

// usage is the resource usage of a network over a period.
type usage struct {
	bytes         int
	messages      int
	cpu           time.Duration // processor time of the whole process
	lastDetection time.Duration // from the start of the period until the last node detected a death
}

// newMembershipNetwork returns n nodes that learn of each other from the log.
func newMembershipNetwork(n int) (*membershipNetwork, error) {
	net := &membershipNetwork{now: start, byAddress: make(map[netip.AddrPort]*peer, n)}
	records := make([]stream.Record, 0, n)
	for i := range n {
		p := newPeer(i, net.now)
		net.nodes = append(net.nodes, p)
		net.byAddress[p.id.Address()] = p
		data, err := p.Record()
		if err != nil {
			return nil, err
		}
		records = append(records, stream.Record{Offset: int64(i), Data: data})
	}
	for _, p := range net.nodes {
		p.Log(net.now, records)
	}
	return net, nil
}

func newPeer(n int, now time.Time) *peer {
	random := rand.New(rand.NewPCG(uint64(n), 1))
	p := &peer{Membership: membership.New(id(n), random), id: id(n), startsAt: now.Add(time.Duration(random.Int64N(int64(startSpread))))}
	p.Join(now, *newMetadata(n))
	return p
}

// failDomain stops all nodes of a failure domain and returns the number of nodes
// still running.
func (net *membershipNetwork) failDomain(domain int) int {
	remaining := 0
	for i, p := range net.nodes {
		p.failed = p.failed || i%domains == domain
		if !p.failed {
			remaining++
		}
	}
	return remaining
}

// run advances the virtual time by d and returns the usage. The processor time
// includes the codec and a small part for the simulated network itself.
func (net *membershipNetwork) run(d time.Duration) (usage, error) {
	net.usage = usage{}
	startedAt, cpu := net.now, cpuTime()
	for end := net.now.Add(d); net.now.Before(end); net.now = net.now.Add(tickInterval) {
		if err := net.advance(startedAt); err != nil {
			return usage{}, err
		}
	}
	net.usage.cpu = cpuTime() - cpu
	return net.usage, nil
}

// advance delivers the messages of the previous tick and ticks each node.
func (net *membershipNetwork) advance(startedAt time.Time) error {
	arrived := net.inFlight
	net.inFlight = nil
	for _, p := range arrived {
		if p.to.failed {
			continue
		}
		f, err := message.Decode[message.Frame](p.data)
		if err != nil {
			return err
		}
		if err := net.send(p.to, p.to.Receive(net.now, p.from, *f.Control, nil)); err != nil {
			return err
		}
	}
	for _, node := range net.nodes {
		if node.failed || net.now.Before(node.startsAt) {
			continue
		}
		if err := net.send(node, node.Tick(net.now, nil)); err != nil {
			return err
		}
		if reportsDeath(node.Changes()) {
			net.usage.lastDetection = net.now.Sub(startedAt)
		}
	}
	return nil
}

func (net *membershipNetwork) send(from *peer, sends []membership.Send) error {
	for _, s := range sends {
		data, err := encodeFrame(from.id, s.Control)
		if err != nil {
			return err
		}
		net.usage.bytes += len(data)
		net.usage.messages++
		if to := net.byAddress[s.To.Address()]; to != nil {
			net.inFlight = append(net.inFlight, packet{from: from.id, to: to, data: data})
		}
	}
	return nil
}
