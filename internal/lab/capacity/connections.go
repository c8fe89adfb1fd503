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

// ignorer ignores what a link receives.
type ignorer struct{}

// Offer implements link.Handler.
func (ignorer) Offer(context.Context, instance.ID, *message.Offer, []byte, reply.Sink) {}

// Control implements link.Handler.
func (ignorer) Control(instance.ID, *message.Control) {}

// links are nodes of one process on loopback.
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
		one, err := link.Open(instance.New(address, 1), socket, config, ignorer{})
		if err != nil {
			l.close()
			return nil, err
		}
		l.all = append(l.all, one)
		l.addresses = append(l.addresses, address)
	}
	return l, nil
}

func (l *links) close() {
	for _, one := range l.all {
		one.Close()
	}
}

// probe sends a probe from the first node to each other one.
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

// connections measures what opening connections takes, both ends together.
func connections(scale int) ([]Series, error) {
	const by = "connections"
	busy := Series{Name: "open connections, both ends, processor", Axis: by, Unit: "µs"}
	kept := Series{Name: "open connections, both ends", Axis: by, Unit: "heap bytes"}
	for _, n := range divide(scale, 32, 64, 128, 256) {
		if err := connect(n, &busy, &kept); err != nil {
			return nil, err
		}
	}
	return []Series{busy.fitted(), kept.fitted()}, nil
}

func connect(n int, busy, kept *Series) error {
	l, err := newLinks(n + 1)
	if err != nil {
		return err
	}
	defer l.close()
	before, began := inUse(), processor()
	if err := l.probe(context.Background()); err != nil {
		return err
	}
	busy.add(n, micros(processor()-began))
	kept.add(n, float64(inUse())-float64(before))
	return nil
}
