package sidecar

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/papayapath/papayapath/internal/boottime"
	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/fault"
	"github.com/papayapath/papayapath/internal/peer"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/payload"
	"github.com/papayapath/papayapath/pkg/readiness"
	"github.com/papayapath/papayapath/pkg/registry"
)

const (
	// nodesTopic is the log topic that holds the entries of the nodes.
	nodesTopic = "keyed.nodes"
	// nodeExpiry is the time after which an unreachable node is removed. It is
	// longer than a node restart and shorter than possible link failures.
	nodeExpiry = 30 * time.Second
	// antiEntropyInterval is how often a node compares its tables with those of
	// another node.
	antiEntropyInterval = time.Second
	// configurationRequestInterval is the minimum time between two requests for
	// the same configuration version. It covers the transfer of a large document
	// to all nodes of a failure domain.
	configurationRequestInterval = 500 * time.Millisecond
	// logReadersPerDomain is the number of nodes in a failure domain that read
	// the platform log on behalf of the others.
	logReadersPerDomain = 2
)

// LinkUp sends the local entry, the configuration version and known suspicions
// over a new link. It also sends the entry of the other node, which may have been
// restarted and have to learn what its predecessor announced. The entries of
// third nodes follow with the periodic comparison: exchanging them on each link
// would make the bytes of a start grow with the cube of the number of nodes.
func (n *Node) LinkUp(l *peer.Link) {
	n.journal.WriteSampled(time.Now(), event.LinkOpened, func() logrus.Fields {
		return logrus.Fields{"node": l.Address()}
	})
	n.mu.Lock()
	digest := n.digest()
	digest.Entries = 0
	entries := []registry.Entry{n.self}
	if e, ok := n.registry.Get(l.Address()); ok {
		entries = append(entries, e)
	}
	suspicions := n.quarantine.Snapshot(time.Now(), nil)
	n.mu.Unlock()
	terms := n.limiter.Announcements()
	l.Join(func() {
		if len(suspicions) > 0 {
			peer.Send(l, frame.KindSuspicions, frame.Suspicions{Suspicions: suspicions}, nil)
		}
		peer.Send(l, frame.KindEntries, frame.Entries{Entries: entries}, nil)
		peer.Send(l, frame.KindDigest, digest, nil)
		for _, a := range terms {
			peer.Send(l, frame.KindTerm, frame.TermNotice{Part: a.Part, Record: a.Record, End: a.End}, nil)
		}
	})
}

// LinkDown ends the offers of a closed link in both directions. Offers that this
// node sent over it end with an unknown outcome.
func (n *Node) LinkDown(l *peer.Link, cause error) {
	now := time.Now()
	n.cancelLinkExecutions(now, l)
	n.mu.Lock()
	delete(n.transits, l)
	delete(n.confirmations, l)
	n.mu.Unlock()
	if l.Address() == "" {
		return
	}
	n.journal.WriteSampled(now, event.LinkLost, func() logrus.Fields {
		return logrus.Fields{"node": l.Address(), "detail": cause.Error()}
	})
	n.mu.Lock()
	unanswered := make(map[uint64]*pending)
	for id, p := range n.pending {
		if p.link == l {
			n.removeOffer(id, p)
			unanswered[id] = p
		}
	}
	n.mu.Unlock()
	for id, p := range unanswered {
		// The answer may have been in transit, so the request may have run.
		p.request.results <- &offerResult{
			answer: frame.Answer{ID: id, Outcome: outcome.Unknown, Reason: outcome.Broken, Sent: true}, pending: p, linkLost: true,
		}
	}
}

// ResponsePending reports whether an offer sent over the link is unanswered.
func (n *Node) ResponsePending(l *peer.Link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.InFlight(l.Address()) > 0
}

// PeerUnreachable removes a node that has been unreachable for nodeExpiry.
func (n *Node) PeerUnreachable(address string, since time.Time) {
	now := time.Now()
	if now.Sub(since) < nodeExpiry {
		return
	}
	n.mu.Lock()
	n.registry.Drop(now, address)
	n.roster.Remove(address)
	delete(n.notices, address)
	n.mu.Unlock()
	n.mesh.Drop(address)
}

// HandleFrame processes a frame from another node. A frame that cannot be decoded
// closes the link.
func (n *Node) HandleFrame(l *peer.Link, f frame.Frame) {
	now := time.Now()
	if f.Dropped {
		n.handleDropped(now, l, f)
		return
	}
	var err error
	head := f.Message
	switch f.Kind {
	case frame.KindOffer:
		var o frame.Offer
		if o, err = decodeMessage[frame.Offer](head); err == nil {
			n.acceptOffer(now, l, &o, f.Body)
			return
		}
	case frame.KindAnswer:
		var a frame.Answer
		if a, err = decodeMessage[frame.Answer](head); err == nil {
			correctAnswer(&a)
			n.handleAnswer(now, l, &a, f.Body)
			return
		}
	case frame.KindCancel:
		var c frame.Cancel
		if c, err = decodeMessage[frame.Cancel](head); err == nil {
			n.mu.Lock()
			late := n.transitDelay(now, l, c.Sent)
			n.mu.Unlock()
			if key := (executionKey{link: l, id: c.ID}); c.Queued {
				n.cancelQueued(now, key)
			} else {
				n.cancelExecution(now, key, late)
			}
		}
	case frame.KindEntries:
		var e frame.Entries
		if e, err = decodeMessage[frame.Entries](head); err == nil {
			n.handleEntries(now, l, n.plausibleEntries(now, e.Entries))
		}
	case frame.KindSummary:
		var m frame.Summary
		if m, err = decodeMessage[frame.Summary](head); err == nil {
			n.handleSummary(l, m)
		}
	case frame.KindBuckets:
		var b frame.Buckets
		if b, err = decodeMessage[frame.Buckets](head); err == nil {
			n.handleBuckets(now, l, b)
		}
	case frame.KindDigest:
		var d frame.Digest
		if d, err = decodeMessage[frame.Digest](head); err == nil {
			n.reconcile(now, l, d)
		}
	case frame.KindConfiguration:
		n.applyConfiguration(f.Body.Bytes(), false)
	case frame.KindTokenRequest:
		var r frame.TokenRequest
		if r, err = decodeMessage[frame.TokenRequest](head); err == nil {
			n.grantTokens(l, r)
		}
	case frame.KindTokenGrant:
		var g frame.TokenGrant
		if g, err = decodeMessage[frame.TokenGrant](head); err == nil {
			n.limiter.HandleGrant(g.ID, g.Granted, milliseconds(g.ValidityMS), milliseconds(g.WaitMS))
		}
	case frame.KindTerm:
		var t frame.TermNotice
		if t, err = decodeMessage[frame.TermNotice](head); err == nil {
			n.limiter.HandleTerm(t.Part, t.Record, t.End)
		}
	case frame.KindSuspicions:
		var s frame.Suspicions
		if s, err = decodeMessage[frame.Suspicions](head); err == nil {
			n.mergeSuspicions(now, s.Suspicions)
		}
	case frame.KindPing:
		peer.Send(l, frame.KindPong, frame.Ping{}, nil)
	case frame.KindPong:
		n.handlePong(now, l)
	}
	f.Body.Release()
	n.closeOnError(now, l, err)
}

// handleDropped handles a frame for which there was no memory. An offer has not run,
// and a request whose answer is lost may have. Other frames come again: nodes
// compare their tables periodically.
func (n *Node) handleDropped(now time.Time, l *peer.Link, f frame.Frame) {
	n.recordExhausted(&droppedError{kind: f.Kind})
	switch f.Kind {
	case frame.KindOffer:
		o, err := decodeMessage[frame.Offer](f.Message)
		if err == nil {
			n.mu.Lock()
			refusal := n.refuseOffer(now, &execution{key: executionKey{link: l, id: o.ID}, offer: o}, outcome.Memory)
			n.mu.Unlock()
			n.reply(refusal)
		}
		n.closeOnError(now, l, err)
	case frame.KindAnswer:
		a, err := decodeMessage[frame.Answer](f.Message)
		if err == nil {
			a.Outcome, a.Reason = outcome.Unknown, outcome.Memory
			n.handleAnswer(now, l, &a, nil)
		}
		n.closeOnError(now, l, err)
	}
}

// droppedError reports a frame that was dropped for lack of memory.
type droppedError struct{ kind frame.Kind }

// Error states the kind of the frame.
func (e *droppedError) Error() string { return fmt.Sprintf("frame %s dropped", e.kind) }

// closeOnError closes a link on which a frame cannot be decoded.
func (n *Node) closeOnError(now time.Time, l *peer.Link, err error) {
	if err != nil {
		n.journal.WriteSampled(now, event.LinkLost, func() logrus.Fields {
			return logrus.Fields{"node": l.Address(), "detail": err.Error()}
		})
		l.Close()
	}
}

// decodeMessage decodes a message of another node.
func decodeMessage[T any](data []byte) (T, error) {
	return fault.Call(func() (T, error) { return message.Decode[T](data) })
}

// digest returns the digest of the node entries and the configuration version. The
// caller must hold n.mu.
func (n *Node) digest() frame.Digest {
	d := frame.Digest{Entries: n.registry.Digest(), Generation: n.logGeneration}
	if t := n.table.Load(); t != nil {
		d.Version = t.Version()
		if t.HasCustomers() {
			age, known := n.freshness.Age(boottime.Now(), d.Version)
			d.Confirmed, d.Age = known, uint32(min(age.Milliseconds(), math.MaxUint32))
		}
	}
	return d
}

// reconcile compares the digest of another node with the local one. It sends a
// summary of the registry if the entries differ. The configuration, which may be
// large, is sent only on request: a node that starts without one greets all
// others at once, and each would send it.
func (n *Node) reconcile(now time.Time, l *peer.Link, d frame.Digest) {
	n.mu.Lock()
	n.observeGeneration(d.Generation)
	n.freshness.Announce(d.Version)
	if d.Confirmed {
		n.freshness.Confirm(boottime.Now().Add(-time.Duration(d.Age)*time.Millisecond), d.Version)
	}
	local := n.digest()
	rawConfiguration := n.rawConfiguration
	var summary []uint64
	if d.Entries != 0 && local.Entries != d.Entries {
		summary = n.registry.Summary()
	}
	request := d.Version > local.Version && (d.Version != n.requestedVersion || now.Sub(n.requestedAt) > configurationRequestInterval)
	if request {
		n.requestedVersion, n.requestedAt = d.Version, now
	}
	n.mu.Unlock()
	if summary != nil {
		peer.Send(l, frame.KindSummary, frame.Summary{Buckets: summary}, nil)
	}
	switch {
	case request:
		peer.Send(l, frame.KindDigest, frame.Digest{Version: local.Version, Request: true}, nil)
	case d.Version >= local.Version:
	case d.Request:
		peer.Send(l, frame.KindConfiguration, frame.Configuration{Version: local.Version}, payload.NewBody(rawConfiguration, nil))
	default:
		peer.Send(l, frame.KindDigest, frame.Digest{Version: local.Version}, nil)
	}
}

// handleSummary sends the local entries of the buckets that differ from those of
// another node.
func (n *Node) handleSummary(l *peer.Link, m frame.Summary) {
	n.mu.Lock()
	buckets := n.registry.Differing(m.Buckets)
	entries := n.registry.InBuckets(buckets)
	n.mu.Unlock()
	if len(buckets) > 0 {
		peer.Send(l, frame.KindBuckets, frame.Buckets{Buckets: buckets, Entries: entries}, nil)
	}
}

// handleBuckets merges the entries of some buckets and returns those that the
// sender lacks.
func (n *Node) handleBuckets(now time.Time, l *peer.Link, b frame.Buckets) {
	b.Entries = n.plausibleEntries(now, b.Entries)
	n.mu.Lock()
	n.mergeEntries(now, b.Entries)
	newer := n.registry.NewerThan(b.Entries, b.Buckets)
	n.mu.Unlock()
	if len(newer) > 0 {
		peer.Send(l, frame.KindEntries, frame.Entries{Entries: newer}, nil)
	}
}

// handleEntries merges node entries received over a link. An entry of a restarted
// node that replaces one whose backend server was leaving is answered with the
// replaced one, because the new process may not know of the leave.
func (n *Node) handleEntries(now time.Time, l *peer.Link, entries []registry.Entry) {
	n.mu.Lock()
	leaving := n.replacedLeaving(entries)
	n.mergeEntries(now, entries)
	n.mu.Unlock()
	if len(leaving) > 0 {
		peer.Send(l, frame.KindEntries, frame.Entries{Entries: leaving}, nil)
	}
}

// replacedLeaving returns the known entries of stopped nodes, or with a leaving backend
// server, that are replaced by those of restarted nodes. For an entry with a ready
// server that is known to leave, it returns that entry with the state draining.
func (n *Node) replacedLeaving(entries []registry.Entry) []registry.Entry {
	var leaving []registry.Entry
	for _, e := range entries {
		old, ok := n.registry.Get(e.Node)
		leaves := old.State == readiness.Draining && e.State != readiness.Draining
		if ok && e.Incarnation > old.Incarnation && (leaves || old.Ending) {
			leaving = append(leaving, old)
			continue
		}
		if e.State == readiness.Ready && n.registry.IsLeaving(e) {
			// Revision 0 is older than any entry of the node, which keeps its own.
			e.State, e.Revision = readiness.Draining, 0
			leaving = append(leaving, e)
		}
	}
	return leaving
}

// plausibleEntries returns the entries without those that no working node writes.
func (n *Node) plausibleEntries(now time.Time, entries []registry.Entry) []registry.Entry {
	return slices.DeleteFunc(entries, func(e registry.Entry) bool {
		err := e.Validate(now)
		if err != nil {
			n.journal.WriteSampled(now, event.EntryRejected, func() logrus.Fields {
				return logrus.Fields{"detail": err.Error()}
			})
		}
		return err != nil
	})
}

// mergeEntries merges plausible entries into the registry and connects to new nodes.
// The caller must hold n.mu.
func (n *Node) mergeEntries(now time.Time, entries []registry.Entry) {
	for _, e := range entries {
		if e.Node == n.self.Node {
			n.refute(now, e)
			continue
		}
		if n.registry.Merge(now, e) {
			n.mesh.Connect(n.ctx, e.Node)
		}
	}
}

// refute overrides an entry that an earlier process published under the local
// address. If that entry marks a backend server as draining, the mark remains in
// force.
func (n *Node) refute(now time.Time, e registry.Entry) {
	if e.State == readiness.Draining {
		n.readiness.MarkLeaving(readiness.Incarnation{ID: e.Instance, Born: e.Born})
	}
	// The callers of a process that was stopped see a single restart.
	n.replacesStopped = n.replacesStopped || e.Ending && e.Incarnation < n.self.Incarnation
	if !e.Newer(n.self) {
		return
	}
	n.self.Incarnation = e.Incarnation + 1
	n.limiter.SetIncarnation(n.self.Incarnation)
	n.announceEntry(now)
}

// announceEntry sends the changed local entry to all linked nodes and schedules
// its write to the log. The other nodes need not know at once which server is about to
// become ready: they learn of it when it is, or with the periodic comparison. The caller
// must hold n.mu.
func (n *Node) announceEntry(now time.Time) {
	known, ok := n.registry.Get(n.self.Node)
	n.self.Revision++
	known.Revision, known.Instance, known.Born, known.Slots = n.self.Revision, n.self.Instance, n.self.Born, n.self.Slots
	isAnnounced := !ok || known != n.self || n.self.State != readiness.Absent
	n.registry.Merge(now, n.self)
	self := n.self
	n.journal.Write(event.EntryChanged, logrus.Fields{
		"state": self.State.String(), "server": self.Instance, "slots": self.Slots,
		"ending": self.Ending, "stopping": self.Stopping, "revision": self.Revision,
	})
	if isAnnounced {
		go func() {
			peer.Broadcast(n.mesh.Links(), frame.KindEntries, frame.Entries{Entries: []registry.Entry{self}})
		}()
	}
	n.signalEntryChange()
}

// runAntiEntropy periodically sends the digest to a random linked node. It also
// runs the periodic work of the connection pool, the readiness tracker and the
// quarantine.
func (n *Node) runAntiEntropy() {
	ticker := time.NewTicker(antiEntropyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case now := <-ticker.C:
			n.pool.CloseExpired(now)
			n.logServerLimit(now)
			n.logRetryBudget(now)
			links := n.mesh.Links()
			if len(links) == 0 {
				continue
			}
			n.mu.Lock()
			d := n.digest()
			n.readiness.Tick(now)
			replies := n.applyReadiness(now, nil)
			n.broadcastSuspicions(now)
			repeated := n.quarantine.Repeat(now, nil)
			n.mu.Unlock()
			n.reply(replies...)
			partner := links[rand.IntN(len(links))]
			peer.Send(partner, frame.KindDigest, d, nil)
			if len(repeated) > 0 {
				peer.Send(partner, frame.KindSuspicions, frame.Suspicions{Suspicions: repeated}, nil)
			}
		}
	}
}

// logReaderRank returns how many nodes of the failure domain that can read the
// platform log have a lower address hash. The logReadersPerDomain first read it. A
// node without a configuration has rank 0.
func (n *Node) logReaderRank() int {
	if n.table.Load() == nil {
		return 0
	}
	links := n.mesh.Links()
	n.mu.Lock()
	defer n.mu.Unlock()
	localHash := xxhash.Sum64String(n.self.Node)
	preferred := 0
	for _, l := range links {
		e, ok := n.registry.Get(l.Address())
		if ok && e.Domain == n.self.Domain && !e.Stopping && !e.LogUnreadable && xxhash.Sum64String(e.Node) < localHash {
			preferred++
		}
	}
	return preferred
}
