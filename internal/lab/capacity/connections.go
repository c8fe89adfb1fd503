package capacity

import (
	"context"
	"net/netip"
	"time"

	"github.com/papayapath/papayapath/internal/authority"
	"github.com/papayapath/papayapath/internal/keys"
	"github.com/papayapath/papayapath/internal/link"
	"github.com/papayapath/papayapath/internal/reply"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
)

// discardHandler discards all messages of a link.
type discardHandler struct{}

// Offer implements link.Handler.
func (discardHandler) Offer(context.Context, instance.ID, *message.Offer, []byte, reply.Sink) {}

// Control implements link.Handler.
func (discardHandler) Control(instance.ID, *message.Control) {}

// links holds the links of several nodes in one process, on loopback.
type links struct {
	all       []*link.Link
	addresses []netip.AddrPort
}

func newLinks(n int) (*links, error) {
	issuer, err := authority.New(time.Now())
	if err != nil {
		return nil, err
	}
	certificate, err := issuer.Issue(time.Now(), "node")
	if err != nil {
		return nil, err
	}
	config := keys.New(certificate, issuer.Pool()).Config()
	l := &links{}
	for range n {
		socket, address, err := link.Listen("127.0.0.1:0")
		if err != nil {
			l.close()
			return nil, err
		}
		opened, err := link.Open(instance.New(address, 1), socket, config, discardHandler{})
		if err != nil {
			l.close()
			return nil, err
		}
		l.all = append(l.all, opened)
		l.addresses = append(l.addresses, address)
	}
	return l, nil
}

func (l *links) close() {
	for _, opened := range l.all {
		opened.Close()
	}
}

// probe sends a probe from the first node to each of the others.
func (l *links) probe(ctx context.Context) error {
	for _, address := range l.addresses[1:] {
		to := instance.New(address, 1)
		control := &message.Control{Probe: &message.Probe{Seq: 1, Target: to}}
		if err := l.all[0].Control(ctx, to, control); err != nil {
			return err
		}
	}
	return nil
}

// measureConnections measures the processor time and heap of opening connections,
// for both ends together.
func measureConnections(divisor int) ([]Series, error) {
	const by = "connections"
	cpu := Series{Name: "open connections, both ends, processor", Axis: by, Unit: "µs"}
	heap := Series{Name: "open connections, both ends", Axis: by, Unit: "heap bytes"}
	for _, n := range divideSizes(divisor, 32, 64, 128, 256) {
		if err := openConnections(n, &cpu, &heap); err != nil {
			return nil, err
		}
	}
	return []Series{cpu.withFit(), heap.withFit()}, nil
}

func openConnections(n int, cpu, heap *Series) error {
	l, err := newLinks(n + 1)
	if err != nil {
		return err
	}
	defer l.close()
	before, startedAt := heapInUse(), cpuTime()
	if err := l.probe(context.Background()); err != nil {
		return err
	}
	cpu.add(n, microseconds(cpuTime()-startedAt))
	heap.add(n, float64(heapInUse())-float64(before))
	return nil
}
