package sidecar

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/fault"
	"github.com/papayapath/papayapath/internal/peer"
	"github.com/papayapath/papayapath/pkg/cursor"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/keyed"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/registry"
	"github.com/papayapath/papayapath/pkg/routing"
)

const (
	// longPollTimeout is how long the log holds a read that has no records to
	// return. The cost of a read does not depend on this time.
	longPollTimeout = 15 * time.Second
	// watchTimeout is the same for the first reader of each failure domain. A
	// connection can go silent unnoticed while new ones work; a read that is sent
	// anew this often brings a configuration in the time in which it has to be in
	// force, 2 s or more.
	watchTimeout = 800 * time.Millisecond
	// minBackoff and maxBackoff bound the delay before the log is called again
	// after a failure. The delay doubles with each consecutive failure.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// minReadInterval is the time from one read to the next. It has an effect only if
	// reads are answered at once, one after the other.
	minReadInterval = 50 * time.Millisecond
	// readerCheckInterval is how often a node that does not read the log checks
	// whether it has become a reader.
	readerCheckInterval = 500 * time.Millisecond
	// maxReadFailures is the number of consecutive failed reads after which the
	// node reports the log as unreadable and another node reads in its place.
	maxReadFailures = 2
	// remoteAnnouncementDelay is the delay after which nodes of other failure
	// domains are told of a new configuration. It exceeds the time in which the
	// log readers of a domain read it and its other nodes request it.
	remoteAnnouncementDelay = 600 * time.Millisecond
	// maxConfigurationBytes bounds a configuration. The log takes records of up to
	// 256 KiB.
	maxConfigurationBytes = 1 << 20
	// rewriteInterval is the mean interval between the writes of all nodes after
	// the log came back from a copy. It keeps them to a part of the writes that
	// the log takes in a second.
	rewriteInterval = 10 * time.Millisecond
)

// backoff computes exponential retry delays with jitter.
type backoff struct{ delay time.Duration }

func (b *backoff) next() time.Duration {
	b.delay = min(max(2*b.delay, minBackoff), maxBackoff)
	return b.delay/2 + rand.N(b.delay)
}

func (b *backoff) reset() { b.delay = 0 }

// sleep waits for d. It returns false if the node's context ends first.
func (n *Node) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-n.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// watchConfiguration reads configuration records from the log while this node is
// a log reader of its failure domain.
func (n *Node) watchConfiguration() {
	var retry backoff
	position, failures := cursor.New(), 0
	for n.ctx.Err() == nil {
		rank := n.logReaderRank()
		if rank >= logReadersPerDomain {
			position.Reset()
			if !n.sleep(readerCheckInterval) {
				return
			}
			continue
		}
		log := *n.log.Load()
		before := log.Generation()
		from := position.Position(before)
		start := time.Now()
		records, end, err := n.readLog(log, from, pollTimeout(rank))
		n.recordGeneration()
		if err == nil {
			failures = n.recordReadSuccess(failures)
			retry.reset()
			position.Advance(before, log.Generation(), end)
			n.applyRecords(records)
			n.confirmConfiguration(confirmedAt(start, time.Now(), pollTimeout(rank), len(records)))
			if !n.sleep(minReadInterval - time.Since(start)) {
				return
			}
			continue
		}
		position.Reset()
		if n.platform.IsOffsetOutOfRange(err) {
			n.journal.Write(event.LogPositionLost, logrus.Fields{"position": from})
			if !n.sleep(minReadInterval - time.Since(start)) {
				return
			}
			continue
		}
		failures++
		n.recordReadFailure(failures, err)
		if !n.sleep(retry.next()) {
			return
		}
	}
}

// confirmedAt returns a time at which the log had no records beyond those of a read.
func confirmedAt(start, end time.Time, wait time.Duration, records int) time.Time {
	if at := start.Add(wait); records == 0 && at.Before(end) {
		return at
	}
	return start
}

// confirmConfiguration records that the configuration in force was the newest one at the
// given time.
func (n *Node) confirmConfiguration(at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t := n.table.Load(); t != nil {
		n.freshness.Confirm(at, t.Version())
	}
}

// recordGeneration records the generation that the log states. If it has risen,
// the other nodes of the failure domain are told at once, and all others learn of
// it with the periodic digests.
func (n *Node) recordGeneration() {
	n.mu.Lock()
	restored := n.observeGeneration((*n.log.Load()).Generation())
	d := n.digest(time.Now())
	d.Entries = 0
	n.mu.Unlock()
	if restored {
		n.sendDigest(d, true)
	}
}

// observeGeneration records a generation of the log, and reports whether the log
// has come back from a copy. The entry of this node may be gone then, so it is
// written again. The caller must hold n.mu.
func (n *Node) observeGeneration(generation uint64) (restored bool) {
	if generation <= n.logGeneration {
		return false
	}
	restored = n.logGeneration != 0
	if restored {
		n.journal.Write(event.LogRestored, logrus.Fields{"generation": generation, "was": n.logGeneration})
		n.scheduleRewrite()
	}
	n.logGeneration = generation
	return restored
}

// scheduleRewrite writes the local entry to the log again after a random delay,
// which spreads the writes of all nodes. The caller must hold n.mu.
func (n *Node) scheduleRewrite() {
	time.AfterFunc(rand.N(time.Duration(n.registry.Len())*rewriteInterval), func() {
		n.rewriteEntry.Store(true)
		n.signalEntryChange()
	})
}

// signalEntryChange has maintainEntry write the local entry.
func (n *Node) signalEntryChange() {
	select {
	case n.entryChanged <- struct{}{}:
	default:
	}
}

// readLog returns the records from the given position, or the newest record of
// each key if there is none. It waits for records for the given time.
func (n *Node) readLog(log CompactedLog, position int64, wait time.Duration) ([]keyed.Record, int64, error) {
	if position == cursor.None {
		return log.Newest(n.platform.Topic)
	}
	return log.Read(n.platform.Topic, position, wait)
}

// pollTimeout returns how long a reader of the given rank waits for records.
func pollTimeout(rank int) time.Duration {
	if rank == 0 {
		return watchTimeout
	}
	return longPollTimeout
}

func (n *Node) applyRecords(records []keyed.Record) {
	for _, r := range records {
		if r.Key == n.platform.Key && len(r.Value) > 0 {
			n.applyConfiguration(r.Value, true)
		}
	}
}

// recordReadFailure records a failed read. After maxReadFailures in a row it
// reports the log as unreadable to the other nodes.
func (n *Node) recordReadFailure(failures int, err error) {
	n.stats.logFailures.Inc(1)
	if failures == 1 {
		n.journal.Write(event.LogUnavailable, logrus.Fields{"detail": err.Error()})
	}
	if failures == maxReadFailures {
		n.setLogUnreadable(true)
	}
}

// recordReadSuccess records a successful read after the given number of failures
// and returns the new count of failures.
func (n *Node) recordReadSuccess(failures int) int {
	if failures > 0 {
		n.journal.Write(event.LogRecovered, logrus.Fields{"failures": failures})
		n.setLogUnreadable(false)
	}
	return 0
}

func (n *Node) setLogUnreadable(unreadable bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.self.LogUnreadable != unreadable {
		n.self.LogUnreadable = unreadable
		n.announceEntry(time.Now())
	}
}

// applyConfiguration decodes a configuration and puts it in force if its version
// is higher than that of the current one. Configurations read from the log are
// announced to the other nodes.
func (n *Node) applyConfiguration(rawConfiguration []byte, fromLog bool) {
	t, err := fault.Call(func() (*routing.Table, error) {
		if len(rawConfiguration) > maxConfigurationBytes {
			return nil, &configurationSizeError{size: len(rawConfiguration)}
		}
		return n.platform.Configuration(rawConfiguration, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	})
	if err != nil {
		n.journal.Write(event.ConfigurationRejected, logrus.Fields{"detail": err.Error()})
		return
	}
	n.mu.Lock()
	old := n.table.Load()
	if old != nil && t.Version() <= old.Version() {
		n.mu.Unlock()
		return
	}
	n.freshness.Announce(t.Version())
	n.table.Store(t)
	n.rawConfiguration = append([]byte(nil), rawConfiguration...)
	d := frame.Digest{Version: t.Version()}
	n.mu.Unlock()
	n.applyLimits(t)
	n.journal.Write(event.ConfigurationChanged, logrus.Fields{"version": t.Version(), "from_log": fromLog, "customers": t.Keyring().Len()})
	for _, w := range t.Warnings()[:min(len(t.Warnings()), maxLoggedWarnings)] {
		n.journal.Write(event.RouteRestricted, logrus.Fields{"version": t.Version(), "detail": w})
	}
	if fromLog {
		n.announceConfiguration(d)
	}
}

// maxLoggedWarnings bounds the log lines for one configuration.
const maxLoggedWarnings = 10

// configurationSizeError reports a configuration that is too large to be decoded.
type configurationSizeError struct{ size int }

// Error states the size.
func (e *configurationSizeError) Error() string {
	return fmt.Sprintf("configuration of %d bytes is larger than %d", e.size, maxConfigurationBytes)
}

// announceConfiguration announces a configuration that was read from the log.
// Each failure domain has its own log readers, so the nodes of the own domain are
// told at once and the others later. By then they have the configuration, unless
// no node of their domain can read the log, and the document crosses between
// domains only where it has to.
func (n *Node) announceConfiguration(d frame.Digest) {
	n.sendDigest(d, true)
	time.AfterFunc(remoteAnnouncementDelay, func() { n.sendDigest(d, false) })
}

// sendDigest sends a digest to the linked nodes in the own failure domain, or to
// those in the others.
func (n *Node) sendDigest(d frame.Digest, ownDomain bool) {
	links := n.mesh.Links()
	n.mu.Lock()
	links = slices.DeleteFunc(links, func(l *peer.Link) bool {
		e, ok := n.registry.Get(l.Address())
		return (ok && e.Domain == n.self.Domain) != ownDomain
	})
	n.mu.Unlock()
	peer.Broadcast(links, frame.KindDigest, d)
}

// maintainEntry writes the local entry to the log whenever it changes, or when the
// log may have lost it. After the first write, and as a log reader after each one
// that follows a loss, it reads the entries of the other nodes: of two nodes that
// write and then read, one at least finds the other.
func (n *Node) maintainEntry() {
	var retry backoff
	peersKnown := false
	n.signalEntryChange()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.entryChanged:
		}
		if n.rewriteEntry.Swap(false) && n.logReaderRank() < logReadersPerDomain {
			peersKnown = false
		}
		for {
			err := n.writeEntry()
			n.recordGeneration()
			if err == nil && !peersKnown {
				err = n.readEntries()
				peersKnown = err == nil
			}
			if err == nil {
				retry.reset()
				break
			}
			n.stats.logFailures.Inc(1)
			if !n.sleep(retry.next()) {
				return
			}
		}
	}
}

func (n *Node) writeEntry() error {
	n.mu.Lock()
	self := n.self
	n.mu.Unlock()
	value, err := message.Encode(self)
	if err != nil {
		return err
	}
	return (*n.log.Load()).Put(nodesTopic, self.Node, value)
}

func (n *Node) readEntries() error {
	records, _, err := (*n.log.Load()).Newest(nodesTopic)
	if err != nil {
		return err
	}
	var entries []registry.Entry
	for _, r := range records {
		e, err := decodeMessage[registry.Entry](r.Value)
		if err != nil {
			n.journal.Write(event.LogUnavailable, logrus.Fields{"key": r.Key, "detail": err.Error()})
			continue
		}
		entries = append(entries, e)
	}
	now := time.Now()
	entries = n.plausibleEntries(now, entries)
	n.mu.Lock()
	n.mergeEntries(now, entries)
	n.mu.Unlock()
	return nil
}
