package sidecar

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/peer"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/keyed"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/registry"
)

const (
	// readWait is how long the log holds a read for which there is no record.
	// A read costs the same however long it waits.
	readWait = 15 * time.Second
	// firstBackoff and lastBackoff bound the time between two attempts to
	// call the log after a failure. The time doubles with each one.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = time.Second
	// readerCheck is how often a node that does not read the log looks
	// whether it has to.
	readerCheck = 500 * time.Millisecond
	// blindAfter is the number of failed reads in a row after which another
	// node reads in place of this one.
	blindAfter = 2
)

// backoff spreads repeated attempts.
type backoff struct{ pause time.Duration }

func (b *backoff) next() time.Duration {
	b.pause = min(max(2*b.pause, firstBackoff), lastBackoff)
	return b.pause/2 + rand.N(b.pause)
}

func (b *backoff) reset() { b.pause = 0 }

// pauseFor waits and reports whether the node goes on.
func (n *Node) pauseFor(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-n.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// follow reads the configuration from the log, for this node and for others.
func (n *Node) follow() {
	var wait backoff
	position, failures := int64(-1), 0
	for n.ctx.Err() == nil {
		if !n.reads() {
			position = -1
			if !n.pauseFor(readerCheck) {
				return
			}
			continue
		}
		records, end, err := n.readLog(position)
		if err == nil {
			failures = n.regained(failures)
			wait.reset()
			position = end
			n.takeRecords(records)
			continue
		}
		if n.formats.IsOffsetOutOfRange(err) {
			position = -1
			continue
		}
		position = -1
		failures++
		n.lost(failures, err)
		if !n.pauseFor(wait.next()) {
			return
		}
	}
}

// readLog returns the records from position on, or the newest of all keys if it
// is below zero.
func (n *Node) readLog(position int64) ([]keyed.Record, int64, error) {
	log := *n.log.Load()
	if position < 0 {
		return log.Newest(n.formats.Topic)
	}
	return log.Read(n.formats.Topic, position, readWait)
}

func (n *Node) takeRecords(records []keyed.Record) {
	for _, r := range records {
		if r.Key == n.formats.Key && len(r.Value) > 0 {
			n.configure(time.Now(), r.Value, true)
		}
	}
}

// lost notes that the log cannot be read.
func (n *Node) lost(failures int, err error) {
	n.figures.logFailures.Inc(1)
	if failures == 1 {
		n.journal.Write(event.LogUnavailable, logrus.Fields{"detail": err.Error()})
	}
	if failures == blindAfter {
		n.setBlind(true)
	}
}

// regained notes that the log can be read. It returns the new count of failures.
func (n *Node) regained(failures int) int {
	if failures > 0 {
		n.journal.Write(event.LogRecovered, logrus.Fields{"failures": failures})
		n.setBlind(false)
	}
	return 0
}

func (n *Node) setBlind(blind bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.self.LogUnreadable != blind {
		n.self.LogUnreadable = blind
		n.announce(time.Now())
	}
}

// configure takes over a configuration if it is newer than the one in force.
func (n *Node) configure(now time.Time, raw []byte, fromLog bool) {
	t, err := n.formats.Configuration(raw, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
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
	n.table.Store(t)
	n.raw = append([]byte(nil), raw...)
	d := n.digest()
	n.mu.Unlock()
	n.journal.Write(event.ConfigurationChanged, logrus.Fields{"version": t.Version(), "from_log": fromLog})
	if !fromLog {
		return
	}
	for _, l := range n.mesh.Links() {
		peer.Send(l, frame.KindDigest, d, nil)
	}
	_ = now
}

// register writes the own entry to the log whenever it has changed, and finds
// the other nodes there.
func (n *Node) register() {
	var wait backoff
	known := false
	n.publish <- struct{}{}
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.publish:
		}
		for {
			err := n.writeEntry()
			if err == nil && !known {
				err = n.readEntries()
				known = err == nil
			}
			if err == nil {
				wait.reset()
				break
			}
			n.figures.logFailures.Inc(1)
			if !n.pauseFor(wait.next()) {
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
	return (*n.log.Load()).Put(membersTopic, self.Node, value)
}

func (n *Node) readEntries() error {
	records, _, err := (*n.log.Load()).Newest(membersTopic)
	if err != nil {
		return err
	}
	var entries []registry.Entry
	for _, r := range records {
		e, err := message.Decode[registry.Entry](r.Value)
		if err != nil {
			n.journal.Write(event.LogUnavailable, logrus.Fields{"key": r.Key, "detail": err.Error()})
			continue
		}
		entries = append(entries, e)
	}
	n.mu.Lock()
	n.mergeEntries(time.Now(), entries)
	n.mu.Unlock()
	return nil
}
