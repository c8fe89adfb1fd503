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

// step is the time between two ticks of a node. A message takes one step.
const step = 10 * time.Millisecond

// stagger is the time over which nodes start, as long as a probe interval.
const stagger = 200 * time.Millisecond

// network connects memberships under virtual time.
type network struct {
	now   time.Time
	nodes []*peer
	at    map[netip.AddrPort]*peer
	sent  []packet // delivered in the next step
	usage usage
}

type peer struct {
	*membership.Membership
	id     instance.ID
	starts time.Time
	down   bool
}

type packet struct {
	from instance.ID
	to   *peer
	data []byte
}

// usage is what a network used over a time.
type usage struct {
	bytes    int
	messages int
	busy     time.Duration // processor time of the process
	last     time.Duration // from the start to the last node that saw a death
}

// newNetwork returns a network of n nodes that know each other by the log.
func newNetwork(n int) (*network, error) {
	w := &network{now: start, at: make(map[netip.AddrPort]*peer, n)}
	records := make([]stream.Record, 0, n)
	for i := range n {
		v := newPeer(i, w.now)
		w.nodes = append(w.nodes, v)
		w.at[v.id.Address()] = v
		data, err := v.Record()
		if err != nil {
			return nil, err
		}
		records = append(records, stream.Record{Offset: int64(i), Data: data})
	}
	for _, v := range w.nodes {
		v.Log(w.now, records)
	}
	return w, nil
}

func newPeer(n int, now time.Time) *peer {
	random := rand.New(rand.NewPCG(uint64(n), 1))
	v := &peer{Membership: membership.New(id(n), random), id: id(n), starts: now.Add(time.Duration(random.Int64N(int64(stagger))))}
	v.Join(now, *facts(n))
	return v
}

// lose ends all nodes of a failure domain and returns how many are left.
func (w *network) lose(domain int) int {
	left := 0
	for i, v := range w.nodes {
		v.down = v.down || i%domains == domain
		if !v.down {
			left++
		}
	}
	return left
}

// run lets time pass and returns what was used. The processor time contains
// the codec and, as a small part, the network itself.
func (w *network) run(d time.Duration) (usage, error) {
	w.usage = usage{}
	began, busy := w.now, processor()
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		if err := w.pass(began); err != nil {
			return usage{}, err
		}
	}
	w.usage.busy = processor() - busy
	return w.usage, nil
}

// pass delivers the messages of the step before and ticks each node.
func (w *network) pass(began time.Time) error {
	arrived := w.sent
	w.sent = nil
	for _, p := range arrived {
		if p.to.down {
			continue
		}
		f, err := message.Decode[message.Frame](p.data)
		if err != nil {
			return err
		}
		if err := w.send(p.to, p.to.Receive(w.now, p.from, *f.Control, nil)); err != nil {
			return err
		}
	}
	for _, v := range w.nodes {
		if v.down || w.now.Before(v.starts) {
			continue
		}
		if err := w.send(v, v.Tick(w.now, nil)); err != nil {
			return err
		}
		if died(v.Changes()) {
			w.usage.last = w.now.Sub(began)
		}
	}
	return nil
}

func (w *network) send(from *peer, sends []membership.Send) error {
	for _, s := range sends {
		data, err := frame(from.id, s.Control)
		if err != nil {
			return err
		}
		w.usage.bytes += len(data)
		w.usage.messages++
		if to := w.at[s.To.Address()]; to != nil {
			w.sent = append(w.sent, packet{from: from.id, to: to, data: data})
		}
	}
	return nil
}
