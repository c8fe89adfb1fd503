package quarantine

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/papayapath/papayapath/pkg/message"
)

const (
	// defaultSize bounds the table. It holds the calls in flight of more than
	// ten crashes of the largest servers (270 slots).
	defaultSize = 4096
	// defaultCrashes is how many crashes lead to refusal.
	defaultCrashes = 3
	// defaultRefusal is how long a request is refused.
	defaultRefusal = 10 * time.Minute
	// panicSize reports a table without room for one request.
	panicSize = "quarantine: size below 1"
)

// Decision says how a request may run.
type Decision uint8

// Verdicts on a request.
const (
	Allow   Decision = iota // not suspected
	Isolate                 // only while nothing else runs on the server
	Refuse                  // not at all
)

// Request names what a customer asks for, whatever its idempotency key.
type Request struct {
	Customer string
	Content  uint64 // xxhash64 of service, method, path and body
}

// Quarantine is what one node knows of requests that crash backend servers.
//
// Every request in flight at a crash becomes a suspect. A suspect runs alone,
// so that a further crash hits no other request and convicts the right one.
// Crashes among other requests never lead to refusal by themselves: an
// innocent request that many callers send is in flight at most crashes.
type Quarantine struct {
	table   *simplelru.LRU[Request, record]
	proven  proven
	pending []Request
	size    int
	crashes int
	refusal time.Duration
	shared  bool // suspects run beside other requests
}

// record is what is known of one request. A record without crashes is kept
// until it expires, so that an older message does not revive the suspicion.
type record struct {
	crashes  int
	alone    int
	spared   bool // the only crash came soon after a complete run
	revision uint64
	expires  time.Time
}

// Option changes a default of New.
type Option func(*Quarantine)

// WithTableSize bounds the number of requests in the table; at least 1.
func WithTableSize(n int) Option { return func(q *Quarantine) { q.size = n } }

// WithCrashThreshold sets how many crashes lead to refusal.
func WithCrashThreshold(n int) Option { return func(q *Quarantine) { q.crashes = n } }

// WithRefusalPeriod sets how long a request is refused.
func WithRefusalPeriod(d time.Duration) Option { return func(q *Quarantine) { q.refusal = d } }

// WithoutIsolation lets suspects run beside other requests. A request is refused
// after enough crashes without a complete run in between: an innocent one, in
// flight by chance, completes elsewhere and is cleared.
func WithoutIsolation() Option { return func(q *Quarantine) { q.shared = true } }

// New returns a quarantine without suspects.
func New(options ...Option) *Quarantine {
	q := &Quarantine{size: defaultSize, crashes: defaultCrashes, refusal: defaultRefusal}
	for _, o := range options {
		o(q)
	}
	table, err := simplelru.NewLRU[Request, record](q.size, nil)
	if err != nil {
		panic(panicSize)
	}
	q.table = table
	return q
}

// Check returns how r may run at now.
func (q *Quarantine) Check(now time.Time, r Request) Decision {
	if q.table.Len() == 0 {
		return Allow
	}
	rec, ok := q.table.Get(r)
	switch {
	case !ok || rec.crashes == 0 || rec.spared || !now.Before(rec.expires):
		return Allow
	case q.convicted(rec):
		return Refuse
	case q.shared:
		return Allow
	default:
		return Isolate
	}
}

// RecordCrash records that the backend server crashed while running ran.
func (q *Quarantine) RecordCrash(now time.Time, ran []Request) {
	for _, r := range ran {
		q.crash(now, r, len(ran) == 1)
	}
}

func (q *Quarantine) crash(now time.Time, r Request, alone bool) {
	rec := q.lookup(now, r)
	rec.spared = rec.crashes == 0 && !alone && q.proven.has(r)
	q.proven.remove(r)
	rec.crashes++
	if alone {
		rec.alone++
	}
	q.change(now, r, rec)
}

// Complete records that r ran to its end, which clears it.
func (q *Quarantine) Complete(now time.Time, r Request) {
	q.proven.add(r)
	if q.table.Len() == 0 {
		return
	}
	rec, ok := q.table.Peek(r)
	if !ok || rec.crashes == 0 {
		return
	}
	q.change(now, r, record{revision: rec.revision})
}

// Merge takes over what another node knows, if it is newer. Of two changes
// made at the same time the one with more crashes wins.
func (q *Quarantine) Merge(now time.Time, s message.Suspicion) {
	r := Request{Customer: s.Customer, Content: s.Content}
	rec := q.lookup(now, r)
	if s.Revision < rec.revision || s.Revision == rec.revision && s.Crashes <= rec.crashes {
		return
	}
	left := min(max(s.TTL, 0), q.refusal)
	q.table.Add(r, record{
		crashes: s.Crashes, alone: s.SoloCrashes, revision: s.Revision, expires: now.Add(left),
		spared: s.Crashes == 1 && s.SoloCrashes == 0 && q.proven.has(r),
	})
}

// DrainChanges appends to out what other nodes have to be told, and forgets it.
func (q *Quarantine) DrainChanges(now time.Time, out []message.Suspicion) []message.Suspicion {
	for _, r := range q.pending {
		if s, ok := q.suspicion(now, r); ok {
			out = append(out, s)
		}
	}
	q.pending = q.pending[:0]
	return out
}

// Snapshot appends to out what a node that has just joined has to be told.
func (q *Quarantine) Snapshot(now time.Time, out []message.Suspicion) []message.Suspicion {
	for _, r := range q.table.Keys() {
		if s, ok := q.suspicion(now, r); ok {
			out = append(out, s)
		}
	}
	return out
}

// Len returns the number of suspects, refused ones among them, at now.
func (q *Quarantine) Len(now time.Time) int {
	n := 0
	for _, rec := range q.table.Values() {
		if rec.crashes > 0 && !rec.spared && now.Before(rec.expires) {
			n++
		}
	}
	return n
}

func (q *Quarantine) convicted(rec record) bool {
	return rec.crashes >= q.crashes && (q.shared || rec.alone > 0)
}

// lookup returns the record of r, or an empty one. A suspicion that has
// expired keeps its revision, so that the next change counts as newer.
func (q *Quarantine) lookup(now time.Time, r Request) record {
	rec, ok := q.table.Peek(r)
	if ok && !now.Before(rec.expires) {
		return record{revision: rec.revision}
	}
	return rec
}

// change stores rec as the newest state of r and queues it for other nodes.
func (q *Quarantine) change(now time.Time, r Request, rec record) {
	rec.revision++
	rec.expires = now.Add(q.refusal)
	q.table.Add(r, rec)
	if len(q.pending) < q.size {
		q.pending = append(q.pending, r)
	}
}

func (q *Quarantine) suspicion(now time.Time, r Request) (message.Suspicion, bool) {
	rec, ok := q.table.Peek(r)
	if !ok || !now.Before(rec.expires) {
		return message.Suspicion{}, false
	}
	return message.Suspicion{
		Customer: r.Customer, Content: r.Content, Crashes: rec.crashes, SoloCrashes: rec.alone,
		Revision: rec.revision, TTL: rec.expires.Sub(now),
	}, true
}
