package quarantine

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/papayapath/papayapath/pkg/message"
)

const (
	// defaultTableSize is the maximum number of requests in the table. It covers
	// the requests in flight at more than ten crashes of the largest servers
	// (270 slots).
	defaultTableSize = 4096
	// defaultCrashThreshold is the number of crashes from which a request is
	// refused.
	defaultCrashThreshold = 3
	// defaultRefusalPeriod is the time for which a request is refused.
	defaultRefusalPeriod = 10 * time.Minute
	// panicTableSize is the panic message for an invalid table size.
	panicTableSize = "quarantine: size below 1"
)

// Decision tells whether and how a request may run.
type Decision uint8

// Decisions on a request.
const (
	Allow   Decision = iota // run beside other requests
	Isolate                 // run only while nothing else runs on the server
	Refuse                  // do not run
)

// Request identifies a request by its customer and content, independent of the
// idempotency key.
type Request struct {
	Customer string
	Content  uint64 // xxhash64 of service, method, path and body
}

// Quarantine holds the crash records of one node.
//
// Every request in flight at a crash becomes a suspect. A suspect runs isolated,
// so that a further crash affects no other request and identifies the culprit.
// Crashes beside other requests never lead to refusal by themselves, because a
// harmless request that many callers send is in flight at most crashes.
type Quarantine struct {
	table         *simplelru.LRU[Request, record]
	completions   completions
	pending       []Request // changed records to send to other nodes
	tableSize     int
	crashes       int // threshold from which a request is refused
	refusalPeriod time.Duration
	noIsolation   bool // suspects run beside other requests
}

// record is the crash history of one request. A record without crashes is kept
// until it expires, so that a delayed message does not restore the suspicion.
type record struct {
	crashes  int
	isolated int  // crashes while the request ran isolated
	exempt   bool // not suspected: the only crash followed a recent completion
	revision uint64
	expires  time.Time
}

// Option changes a default of New.
type Option func(*Quarantine)

// WithTableSize sets the maximum number of requests in the table, at least 1.
func WithTableSize(n int) Option { return func(q *Quarantine) { q.tableSize = n } }

// WithCrashThreshold sets the number of crashes from which a request is refused.
func WithCrashThreshold(n int) Option { return func(q *Quarantine) { q.crashes = n } }

// WithRefusalPeriod sets the time for which a request is refused.
func WithRefusalPeriod(d time.Duration) Option { return func(q *Quarantine) { q.refusalPeriod = d } }

// WithoutIsolation lets suspects run beside other requests. A request is refused
// after the threshold of crashes without a completion in between. A harmless
// request that was in flight by chance completes elsewhere and is cleared.
func WithoutIsolation() Option { return func(q *Quarantine) { q.noIsolation = true } }

// New returns a quarantine without suspects. It panics if the table size is
// below 1.
func New(options ...Option) *Quarantine {
	q := &Quarantine{tableSize: defaultTableSize, crashes: defaultCrashThreshold, refusalPeriod: defaultRefusalPeriod}
	for _, o := range options {
		o(q)
	}
	table, err := simplelru.NewLRU[Request, record](q.tableSize, nil)
	if err != nil {
		panic(panicTableSize)
	}
	q.table = table
	return q
}

// Check decides whether and how r may run.
func (q *Quarantine) Check(now time.Time, r Request) Decision {
	if q.table.Len() == 0 {
		return Allow
	}
	rec, ok := q.table.Get(r)
	switch {
	case !ok || rec.crashes == 0 || rec.exempt || !now.Before(rec.expires):
		return Allow
	case q.refused(rec):
		return Refuse
	case q.noIsolation:
		return Allow
	default:
		return Isolate
	}
}

// RecordCrash records a crash of the backend server with the given requests in
// flight.
func (q *Quarantine) RecordCrash(now time.Time, inFlight []Request) {
	for _, r := range inFlight {
		q.suspect(now, r, len(inFlight) == 1)
	}
}

// suspect adds a crash to the record of r. The argument isolated reports whether
// r was the only request in flight.
func (q *Quarantine) suspect(now time.Time, r Request, isolated bool) {
	rec := q.lookup(now, r)
	rec.exempt = rec.crashes == 0 && !isolated && q.completions.has(r)
	q.completions.remove(r)
	rec.crashes++
	if isolated {
		rec.isolated++
	}
	q.update(now, r, rec)
}

// Complete records that r ran to completion and clears its suspicion.
func (q *Quarantine) Complete(now time.Time, r Request) {
	q.completions.add(r)
	if q.table.Len() == 0 {
		return
	}
	rec, ok := q.table.Peek(r)
	if !ok || rec.crashes == 0 {
		return
	}
	q.update(now, r, record{revision: rec.revision})
}

// maxCustomerBytes bounds the name of a customer in a suspicion of another node. The
// table keeps the names.
const maxCustomerBytes = 255

// Merge applies a record of another node if it is newer. Of two concurrent
// changes with the same revision, the one with more crashes wins.
func (q *Quarantine) Merge(now time.Time, s message.Suspicion) {
	if len(s.Customer) > maxCustomerBytes {
		return
	}
	r := Request{Customer: s.Customer, Content: s.Content}
	rec := q.lookup(now, r)
	if s.Revision < rec.revision || s.Revision == rec.revision && s.Crashes <= rec.crashes {
		return
	}
	ttl := min(max(s.TTL, 0), q.refusalPeriod)
	q.table.Add(r, record{
		crashes: s.Crashes, isolated: s.SoloCrashes, revision: s.Revision, expires: now.Add(ttl),
		exempt: s.Crashes == 1 && s.SoloCrashes == 0 && q.completions.has(r),
	})
}

// DrainChanges appends the pending changes for other nodes to out and clears
// them.
func (q *Quarantine) DrainChanges(now time.Time, out []message.Suspicion) []message.Suspicion {
	for _, r := range q.pending {
		if s, ok := q.suspicion(now, r); ok {
			out = append(out, s)
		}
	}
	q.pending = q.pending[:0]
	return out
}

// Snapshot appends all unexpired records to out, for a node that has just
// joined.
func (q *Quarantine) Snapshot(now time.Time, out []message.Suspicion) []message.Suspicion {
	for _, r := range q.table.Keys() {
		if s, ok := q.suspicion(now, r); ok {
			out = append(out, s)
		}
	}
	return out
}

// Len returns the number of suspects, including refused ones.
func (q *Quarantine) Len(now time.Time) int {
	n := 0
	for _, rec := range q.table.Values() {
		if rec.crashes > 0 && !rec.exempt && now.Before(rec.expires) {
			n++
		}
	}
	return n
}

// refused reports whether the crashes of a request lead to its refusal.
func (q *Quarantine) refused(rec record) bool {
	return rec.crashes >= q.crashes && (q.noIsolation || rec.isolated > 0)
}

// lookup returns the record of r, or an empty one. An expired record keeps its
// revision, so that the next change counts as newer.
func (q *Quarantine) lookup(now time.Time, r Request) record {
	rec, ok := q.table.Peek(r)
	if ok && !now.Before(rec.expires) {
		return record{revision: rec.revision}
	}
	return rec
}

// update stores rec with the next revision and queues it for other nodes.
func (q *Quarantine) update(now time.Time, r Request, rec record) {
	rec.revision++
	rec.expires = now.Add(q.refusalPeriod)
	q.table.Add(r, rec)
	if len(q.pending) < q.tableSize {
		q.pending = append(q.pending, r)
	}
}

// suspicion returns the record of r as a message, if it has not expired.
func (q *Quarantine) suspicion(now time.Time, r Request) (message.Suspicion, bool) {
	rec, ok := q.table.Peek(r)
	if !ok || !now.Before(rec.expires) {
		return message.Suspicion{}, false
	}
	return message.Suspicion{
		Customer: r.Customer, Content: r.Content, Crashes: rec.crashes, SoloCrashes: rec.isolated,
		Revision: rec.revision, TTL: rec.expires.Sub(now),
	}, true
}
