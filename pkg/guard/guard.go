package guard

import (
	"time"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/lease"
	"github.com/papayapath/papayapath/pkg/ledger"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/ownership"
)

const (
	// DefaultRetention is how long the log keeps a record, unless an option
	// says otherwise.
	DefaultRetention = time.Hour
	// DefaultGeneration is the newest log generation in which a service may
	// get its first table without an operator.
	DefaultGeneration = 1
)

// Guard decides on the non-repeatable calls of one service at one node. It is
// not safe for concurrent use.
type Guard struct {
	self       instance.ID
	service    string
	retention  time.Duration
	generation uint64 // newest generation in which a first table needs no operator
	issued     func(key string) (time.Time, bool)

	table   *ownership.Table
	lease   lease.Lease
	ledger  *ledger.Ledger
	history history

	superseded bool // a newer incarnation runs at the own address
	alone      bool // no table since the first had more than one owner
	heir       bool // was an owner in an older log generation
	reads      reads
	promises   promises
	members    members
	change     change
	effects    []Effect
}

// Option sets a property of a guard.
type Option func(*Guard)

// New returns the guard of a service at the node self. It runs nothing until
// it has read the log.
func New(self instance.ID, service string, options ...Option) *Guard {
	g := &Guard{
		self: self, service: service,
		retention: DefaultRetention, generation: DefaultGeneration,
		issued: message.IssueTime,
		table:  ownership.New(service), ledger: ledger.New(),
	}
	for _, o := range options {
		o(g)
	}
	return g
}

// WithRetention sets how long the log keeps a record.
func WithRetention(d time.Duration) Option { return func(g *Guard) { g.retention = d } }

// WithFirstGeneration sets the newest log generation in which a service may
// get its first table from any instance. In a newer one, which means that the
// log lost its records, an owner of the lost table or an operator has to act.
func WithFirstGeneration(n uint64) Option { return func(g *Guard) { g.generation = n } }

// WithLedger replaces the ledger, to set its bounds.
func WithLedger(l *ledger.Ledger) Option { return func(g *Guard) { g.ledger = l } }

// WithIssueTime replaces the function that returns the time at which a key
// was issued. The time must depend on the key alone.
func WithIssueTime(issued func(key string) (time.Time, bool)) Option {
	return func(g *Guard) { g.issued = issued }
}

// Self returns the instance that the guard decides for.
func (g *Guard) Self() instance.ID { return g.self }

// Service returns the service whose keys are guarded.
func (g *Guard) Service() string { return g.service }

// Owner returns the owner of a key and the epoch of the table, or false if no
// table is known.
func (g *Guard) Owner(key string) (instance.ID, uint64, bool) { return g.table.Owner(key) }

// Owners returns the owners in force and their epoch.
func (g *Guard) Owners() (ownership.Owners, uint64) { return g.table.Owners(), g.table.Epoch() }

// LeaseEnd returns the time up to which calls may run, or the zero time.
func (g *Guard) LeaseEnd() time.Time { return g.lease.Until() }

// Snapshot returns the table for a peer that can't find it in the log.
func (g *Guard) Snapshot() (message.OwnerSnapshot, bool) { return g.table.Snapshot() }

// isOwner reports whether this incarnation is in the table in force.
func (g *Guard) isOwner() bool { return g.table.Owners().Contains(g.self) }
