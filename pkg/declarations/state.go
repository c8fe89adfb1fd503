package declarations

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/stream"
)

// Stream is the name of the stream that holds declarations.
const Stream = "declarations"

// Send is a control message and the node that it goes to.
type Send = message.Send

// State holds the contracts in force at one node. It is fed with batches of
// the log (Log) and with messages of peers (Receive), in any combination, and
// must not be used by two goroutines at the same time.
type State struct {
	self      instance.ID
	random    *rand.Rand
	retention time.Duration
	interval  time.Duration
	fanout    int

	force   *table                    // in force; nil until one is whole
	next    *table                    // read from the log to take the place of force
	seen    []sighting                // newest version that any node has, of each generation
	greeted map[instance.ID]time.Time // peers that have not told their versions, and until when to wait
	started bool
	results []Result
	rescue  *message.Snapshot // table of a peer that the log's generation lacks

	pushed     stream.Position // version that was last sent to peers
	digestDue  time.Time
	followed   bool // the log was read
	caughtUp   time.Time
	read       stream.Position // end of the log by the last read
	snapshot   stream.Position // last snapshot that was seen
	snapshotAt time.Time       // when it was seen; zero if unknown
	examineAt  time.Time       // when Snapshot next looks whether one is due
	attemptAt  time.Time       // when this node last offered a snapshot
	stuckSince time.Time       // since when the log's generation lacks what is in force
}

// Option sets a property of a State.
type Option func(*State)

// WithRetention sets how long the log keeps records (default 24 h).
func WithRetention(d time.Duration) Option { return func(s *State) { s.retention = d } }

// WithInterval sets the time between two digests (default 1 s).
func WithInterval(d time.Duration) Option { return func(s *State) { s.interval = d } }

// WithFanout sets to how many peers a new version is sent (default 3).
func WithFanout(n int) Option { return func(s *State) { s.fanout = n } }

// Defaults of the options.
const (
	defaultRetention = 24 * time.Hour
	defaultInterval  = time.Second
	defaultFanout    = 3
)

// New returns a State of the node self with no contracts in force.
func New(self instance.ID, random *rand.Rand, options ...Option) *State {
	s := &State{
		self: self, random: random,
		retention: defaultRetention, interval: defaultInterval, fanout: defaultFanout,
		greeted: make(map[instance.ID]time.Time),
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Contract returns the contract in force for a customer. It allocates
// nothing.
func (s *State) Contract(customer string) (*contract.Contract, bool) {
	if s.force == nil {
		return nil, false
	}
	e := s.force.entries[customer]
	if e == nil || e.contract == nil {
		return nil, false
	}
	return e.contract, true
}

// Contracts calls yield for each contract in force, in no order, until yield
// returns false.
func (s *State) Contracts(yield func(*contract.Contract) bool) {
	if s.force == nil {
		return
	}
	for _, e := range s.force.entries {
		if e.contract != nil && !yield(e.contract) {
			return
		}
	}
}

// Version returns the position of the last record whose effect is in force,
// or the zero Position.
func (s *State) Version() stream.Position {
	if s.force == nil {
		return stream.Position{}
	}
	return s.force.version
}

// Ready reports whether the node has once caught up with the end of the log
// or with a peer, and with every version that it had heard of by then. It
// waits for the peers that were greeted. Until then the node must serve
// nothing.
func (s *State) Ready() bool { return s.started }

// Results returns what became of the records read since the last call.
func (s *State) Results() []Result {
	r := s.results
	s.results = nil
	return r
}

// validity is the time after which a version that was heard of, and that no
// node has repeated, is taken to be lost with the nodes that had it. Without
// that limit, a version lost in two replacements of the log would keep this
// node from ever following it again.
const validity = time.Minute

// sighting is a version that some node had, and when that was last heard.
type sighting struct {
	version stream.Position
	at      time.Time
}

// Result says what became of one record of the log, or of one message.
type Result struct {
	Position stream.Position
	Record   string          // id of the record; empty if the result is about no record
	Change   *message.Change // nil if the record holds none
	Err      error           // nil if the record took effect; see the error types
}

// reading returns the table that the next records of the log belong to.
func (s *State) reading() *table {
	if s.next != nil {
		return s.next
	}
	return s.force
}

// start notes that the node has caught up, if it lags behind nobody.
func (s *State) start(now time.Time) {
	if s.started {
		return
	}
	for _, end := range s.greeted {
		if now.Before(end) {
			return
		}
	}
	if s.force != nil && s.hasSeen(now, s.force) {
		s.started = true
		clear(s.greeted)
	}
}

// hasSeen reports whether t contains every version that any node is known to
// have.
func (s *State) hasSeen(now time.Time, t *table) bool {
	for _, g := range s.seen {
		if now.Sub(g.at) < validity && !t.contains(g.version) {
			return false
		}
	}
	return true
}

// note remembers a version that some node has.
func (s *State) note(now time.Time, p stream.Position) {
	if p.IsZero() {
		return
	}
	same := func(g sighting) bool { return g.version.Generation == p.Generation }
	i := slices.IndexFunc(s.seen, same)
	if i < 0 {
		s.seen = append(s.seen, sighting{version: p, at: now})
		return
	}
	if p.Compare(s.seen[i].version) >= 0 {
		s.seen[i] = sighting{version: p, at: now}
	}
}
