package ratelimit

import (
	"sync"
	"time"

	"github.com/papayapath/papayapath/internal/boottime"
	"github.com/papayapath/papayapath/pkg/allocator"
	"github.com/papayapath/papayapath/pkg/customer"
	"github.com/papayapath/papayapath/pkg/quota"
	"github.com/papayapath/papayapath/pkg/term"
)

// Network is what a Limiter needs of the connections to other nodes. IsLinked is called
// with the lock of the Limiter held.
type Network interface {
	// RequestTokens sends a request for tokens to a node. It returns false if there is
	// no link to it.
	RequestTokens(node string, id uint64, part int, customer string, wanted int) bool
	// IsLinked reports whether there is a link to a node.
	IsLinked(node string) bool
	// IsNear reports whether a node is in the own failure domain.
	IsNear(node string) bool
	// AnnounceTerm sends the record of a term to all linked nodes.
	AnnounceTerm(part int, r term.Record, end int64)
	// Rank returns the number of linked candidates that allocate a part in preference to
	// this node, or -1 if this node is none.
	Rank(part int) int
	// Incarnation returns the highest known incarnation of a node, or 0.
	Incarnation(node string) int64
}

// Log is the part of the platform log that records the terms.
type Log interface {
	// Newest returns the newest record of a part and the end of its partition, 0 if
	// there is none.
	Newest(part int) (r term.Record, end int64, err error)
	// Append appends a record at an offset and returns the new end.
	Append(part int, r term.Record, at int64) (end int64, result term.Result)
	// Generation returns a number that rises when the log has lost records.
	Generation() uint64
}

// Observer is told what an operator should see.
type Observer interface {
	// TermChanged reports that this node has begun or ceased to allocate a part.
	TermChanged(part int, holds bool)
	// AllocatorChanged reports that another node allocates a part.
	AllocatorChanged(part int, node string)
}

// Limiter admits the requests of customers with a limit. It is safe for concurrent use.
type Limiter struct {
	self     string
	network  Network
	log      Log
	observer Observer
	first    uint64 // generation of the log at the first start of the system, or 0
	clock    func() time.Time
	wake     chan struct{} // has Run look at the terms at once

	mu        sync.Mutex
	allocator *allocator.Allocator
	terms     [term.Parts]*term.Term
	periods   [term.Parts]uint64 // of the terms that the allocator has started
	holding   [term.Parts]bool
	holders   [term.Parts]string // as last reported to the observer
	near      [term.Parts]bool   // the holder is in the own failure domain
	outbox    []message          // to be sent when mu has been released
	stopping  bool
	customers map[string]*entry
	requests  map[uint64]request // unanswered requests for tokens, by ID
	lastID    uint64
	stats     Stats
}

// Stats counts the decisions of a Limiter.
type Stats struct {
	Admitted, Denied, Unavailable, Refunded int64 // requests
	Requested, Granted                      int64 // tokens of other nodes' requests, at the allocator
	Messages                                int64 // requests for tokens sent to other nodes
	Held                                    int   // parts that this node allocates
}

// request is a request for tokens that has no answer yet.
type request struct {
	customer string
	part     int
	sent     time.Time
}

// message is a request for tokens that is to be sent.
type message struct {
	node     string
	id       uint64
	part     int
	customer string
	wanted   int
}

// Option sets a property of a Limiter.
type Option func(*Limiter)

// WithFirstGeneration states the generation that the log has at the first start of the
// whole system. In that generation, no node holds a part of which there is no record.
func WithFirstGeneration(g uint64) Option { return func(l *Limiter) { l.first = g } }

// WithClock sets the clock, which has to count the time for which the process is
// suspended. The default is boottime.Now.
func WithClock(now func() time.Time) Option { return func(l *Limiter) { l.clock = now } }

// New returns the limiter of the node with the given address and incarnation.
func New(self string, incarnation int64, bounds allocator.Bounds, n Network, log Log, o Observer, options ...Option) *Limiter {
	l := &Limiter{
		self: self, network: n, log: log, observer: o, clock: boottime.Now,
		wake:      make(chan struct{}, 1),
		allocator: allocator.New(bounds),
		customers: make(map[string]*entry),
		requests:  make(map[uint64]request),
	}
	for _, option := range options {
		option(l)
	}
	l.newTerms(incarnation)
	return l
}

func (l *Limiter) newTerms(incarnation int64) {
	for i := range l.terms {
		l.terms[i] = term.New(i, l.self, incarnation, term.WithFirstGeneration(l.first))
	}
}

// SetIncarnation gives up all parts, because other nodes are about to see a new
// incarnation of this one and take the process that claimed them for gone.
func (l *Limiter) SetIncarnation(incarnation int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newTerms(incarnation)
	l.updateHoldings(l.clock())
}

// unlock releases l.mu and sends the requests for tokens that were made while it was
// held, because sending can block.
func (l *Limiter) unlock() {
	for {
		out := l.outbox
		l.outbox = nil
		l.mu.Unlock()
		var lost []uint64
		for _, m := range out {
			if !l.network.RequestTokens(m.node, m.id, m.part, m.customer, m.wanted) {
				lost = append(lost, m.id)
			}
		}
		if len(lost) == 0 {
			return
		}
		l.mu.Lock()
		for _, id := range lost {
			l.fail(l.clock(), id)
		}
	}
}

// SetCustomers sets the customers of the configuration in force. Tokens for customers
// without a limit are dropped.
func (l *Limiter) SetCustomers(all []*customer.Customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	limited := make(map[string]bool, len(all))
	for _, c := range all {
		if c.IsLimited() {
			limited[c.Name()] = true
			l.allocator.SetLimit(now, c.Name(), c.Rate(), c.Burst())
		}
	}
	l.allocator.Retain(func(name string) bool { return limited[name] })
	for name, e := range l.customers {
		if !limited[name] {
			e.release(len(e.waiting), result{decision: quota.Admitted})
			delete(l.customers, name)
		}
	}
	l.signal()
}

// Stats returns the counts since the start.
func (l *Limiter) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats
	for _, holding := range l.holding {
		if holding {
			s.Held++
		}
	}
	return s
}

// signal has Run look at the terms at once.
func (l *Limiter) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
