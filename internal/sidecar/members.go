package sidecar

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/peer"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/readiness"
	"github.com/papayapath/papayapath/pkg/registry"
)

const (
	// membersTopic is the topic in which nodes find each other.
	membersTopic = "keyed.nodes"
	// lostAfter is the time after which a node that cannot be reached is
	// removed. It is longer than the restart of a node and shorter than the
	// time that a link may be cut.
	lostAfter = 30 * time.Second
	// exchangeInterval is how often a node compares its tables with another's.
	exchangeInterval = time.Second
	// pullPause is the time for which a configuration that was asked for is
	// not asked for again.
	pullPause = 250 * time.Millisecond
	// readersPerDomain is the number of nodes in a failure domain that read
	// the platform log for the others.
	readersPerDomain = 2
)

// LinkUp sends what another node has to know at once.
func (n *Node) LinkUp(l *peer.Link) {
	n.journal.WriteSampled(time.Now(), event.LinkOpened, func() logrus.Fields {
		return logrus.Fields{"node": l.Address()}
	})
	n.mu.Lock()
	self, digest := n.self, n.digest()
	suspicions := n.quarantine.Snapshot(time.Now(), nil)
	n.mu.Unlock()
	if len(suspicions) > 0 {
		peer.Send(l, frame.KindSuspicions, frame.Suspicions{Suspicions: suspicions}, nil)
	}
	peer.Send(l, frame.KindEntries, frame.Entries{Entries: []registry.Entry{self}}, nil)
	peer.Send(l, frame.KindDigest, digest, nil)
}

// LinkDown ends the offers of a link in both directions.
func (n *Node) LinkDown(l *peer.Link, cause error) {
	now := time.Now()
	n.cancelAll(l)
	if l.Address() == "" {
		return
	}
	n.journal.WriteSampled(now, event.LinkLost, func() logrus.Fields {
		return logrus.Fields{"node": l.Address(), "detail": cause.Error()}
	})
	n.mu.Lock()
	lost := make(map[uint64]*pending)
	for id, p := range n.pending {
		if p.link == l {
			n.close(id, p)
			lost[id] = p
		}
	}
	n.mu.Unlock()
	for id, p := range lost {
		// The answer may have been on its way: the request may have run.
		p.call.results <- result{answer: frame.Answer{ID: id, Outcome: outcome.Unknown, Reason: outcome.Broken, Sent: true}}
	}
}

// ResponsePending reports whether an answer is due on a link.
func (n *Node) ResponsePending(l *peer.Link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.InFlight(l.Address()) > 0
}

// PeerUnreachable removes a node that has been gone for long.
func (n *Node) PeerUnreachable(address string, since time.Time) {
	now := time.Now()
	if now.Sub(since) < lostAfter {
		return
	}
	n.mu.Lock()
	n.registry.Drop(now, address)
	n.roster.Remove(address)
	n.mu.Unlock()
	n.mesh.Drop(address)
}

// HandleFrame takes a message of another node.
func (n *Node) HandleFrame(l *peer.Link, kind frame.Kind, head, body []byte) {
	now := time.Now()
	var err error
	switch kind {
	case frame.KindOffer:
		var o frame.Offer
		if o, err = message.Decode[frame.Offer](head); err == nil {
			n.accept(now, l, &o, body)
		}
	case frame.KindAnswer:
		var a frame.Answer
		if a, err = message.Decode[frame.Answer](head); err == nil {
			n.deliver(now, l, &a, body)
		}
	case frame.KindCancel:
		var c frame.Cancel
		if c, err = message.Decode[frame.Cancel](head); err == nil {
			n.cancel(runKey{link: l, id: c.ID})
		}
	case frame.KindEntries:
		var e frame.Entries
		if e, err = message.Decode[frame.Entries](head); err == nil {
			n.merge(now, l, e)
		}
	case frame.KindDigest:
		var d frame.Digest
		if d, err = message.Decode[frame.Digest](head); err == nil {
			n.compare(now, l, d)
		}
	case frame.KindConfiguration:
		n.configure(now, body, false)
	case frame.KindSuspicions:
		var s frame.Suspicions
		if s, err = message.Decode[frame.Suspicions](head); err == nil {
			n.mergeSuspicions(now, s.Suspicions)
		}
	case frame.KindPing:
		peer.Send(l, frame.KindPong, frame.Ping{}, nil)
	}
	if err != nil {
		n.journal.WriteSampled(now, event.LinkLost, func() logrus.Fields {
			return logrus.Fields{"node": l.Address(), "detail": err.Error()}
		})
		l.Close()
	}
}

// digest describes the tables of this node.
func (n *Node) digest() frame.Digest {
	d := frame.Digest{Entries: n.registry.Digest()}
	if t := n.table.Load(); t != nil {
		d.Version = t.Version()
	}
	return d
}

// compare answers the digest of another node with what differs.
func (n *Node) compare(now time.Time, l *peer.Link, d frame.Digest) {
	n.mu.Lock()
	own := n.digest()
	raw := n.raw
	var all []registry.Entry
	if own.Entries != d.Entries {
		all = n.registry.All()
	}
	pull := d.Version > own.Version && (d.Version != n.pulled || now.Sub(n.pulledAt) > pullPause)
	if pull {
		n.pulled, n.pulledAt = d.Version, now
	}
	n.mu.Unlock()
	if all != nil {
		peer.Send(l, frame.KindEntries, frame.Entries{Entries: all, Reply: true}, nil)
	}
	switch {
	case pull:
		peer.Send(l, frame.KindDigest, frame.Digest{Entries: d.Entries, Version: own.Version}, nil)
	case d.Version < own.Version:
		peer.Send(l, frame.KindConfiguration, frame.Configuration{Version: own.Version}, raw)
	}
}

// merge takes over entries of other nodes.
func (n *Node) merge(now time.Time, l *peer.Link, e frame.Entries) {
	n.mu.Lock()
	differs := n.mergeEntries(now, e.Entries)
	var all []registry.Entry
	if e.Reply && differs {
		all = n.registry.All()
	}
	n.mu.Unlock()
	if all != nil {
		peer.Send(l, frame.KindEntries, frame.Entries{Entries: all}, nil)
	}
}

// mergeEntries merges entries into the registry. It reports whether the
// registry now holds more than them.
func (n *Node) mergeEntries(now time.Time, entries []registry.Entry) bool {
	for _, e := range entries {
		if e.Node == n.self.Node {
			n.refute(now, e)
			continue
		}
		if n.registry.Merge(now, e) {
			n.mesh.Connect(n.ctx, e.Node)
		}
	}
	other := registry.New()
	for _, e := range entries {
		other.Merge(now, e)
	}
	return other.Digest() != n.registry.Digest()
}

// refute overrides an entry of an earlier process at the own address. What it
// says of a server that is leaving still holds.
func (n *Node) refute(now time.Time, e registry.Entry) {
	if e.State == readiness.Draining {
		n.readiness.MarkLeaving(readiness.Incarnation{ID: e.Instance, Born: e.Born})
	}
	if !e.Newer(n.self) {
		return
	}
	n.self.Incarnation = e.Incarnation + 1
	n.announce(now)
}

// announce tells the other nodes and the log that the own entry has changed. It
// is called with the lock held.
func (n *Node) announce(now time.Time) {
	n.self.Revision++
	n.registry.Merge(now, n.self)
	self := n.self
	n.journal.Write(event.EntryChanged, logrus.Fields{
		"state": self.State.String(), "server": self.Instance, "slots": self.Slots,
		"stopping": self.Stopping, "revision": self.Revision,
	})
	go func() {
		for _, l := range n.mesh.Links() {
			peer.Send(l, frame.KindEntries, frame.Entries{Entries: []registry.Entry{self}}, nil)
		}
	}()
	select {
	case n.publish <- struct{}{}:
	default:
	}
}

// exchange compares the tables with those of a random node at intervals.
func (n *Node) exchange() {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case now := <-ticker.C:
			n.pool.CloseExpired(now)
			links := n.mesh.Links()
			if len(links) == 0 {
				continue
			}
			n.mu.Lock()
			d := n.digest()
			n.readiness.Tick(now)
			replies := n.presenceChanged(now, nil)
			n.tellSuspicions(now)
			n.mu.Unlock()
			n.reply(replies...)
			peer.Send(links[rand.IntN(len(links))], frame.KindDigest, d, nil)
		}
	}
}

// reads reports whether this node is one of those in its failure domain that
// read the platform log for the others.
func (n *Node) reads() bool {
	if n.table.Load() == nil {
		return true
	}
	links := n.mesh.Links()
	n.mu.Lock()
	defer n.mu.Unlock()
	own := xxhash.Sum64String(n.self.Node)
	before := 0
	for _, l := range links {
		e, ok := n.registry.Get(l.Address())
		if ok && e.Domain == n.self.Domain && !e.Stopping && !e.LogUnreadable && xxhash.Sum64String(e.Node) < own {
			before++
		}
	}
	return before < readersPerDomain
}
