package quarantine

import (
	"slices"
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
	// maxCrashes bounds the crashes that are kept of one request. A request that completes
	// between crashes may be in flight at many.
	maxCrashes = 16
	// repeats is how often the record of a request with several crashes is sent again after
	// a change. If each node sends it to a random one as often, a node misses all of them
	// with a probability of about exp(-16).
	repeats = 16
	// maxRepeated bounds the records that are sent again at once.
	maxRepeated = 64
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
//
// The record of a request is the set of its crashes. A completion clears the crashes that
// the node knows. Records of several nodes are merged by union, so that crashes that nodes
// record at the same time add up, and messages may be lost, repeated or reordered.
type Quarantine struct {
	table         *simplelru.LRU[Request, record]
	completions   completions
	pending       []Request // changed records to send to other nodes
	repeated      []Request // records to send again
	tableSize     int
	crashes       int // threshold from which a request is refused
	refusalPeriod time.Duration
	noIsolation   bool // suspects run beside other requests
}

// record is the crash history of one request. Cleared crashes are kept until they expire,
// so that a delayed message does not restore the suspicion.
type record struct {
	crashes       []crash
	exempt        bool // not suspected: the only crash followed a recent completion
	reported      int  // least number of crashes, as reported by a sender of the request
	reportedUntil time.Time
	repeats       int // times to send it again
}

// crash is a crash of a backend server with the request in flight.
type crash struct {
	id       uint64
	isolated bool // the request ran isolated
	cleared  bool // the request has completed since
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
// request that was in flight by chance completes elsewhere and is cleared, or has
// completed at the node before the crash.
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
	if !ok {
		return Allow
	}
	crashes, isolated := rec.count(now)
	switch {
	case crashes == 0 || rec.exempt:
		return Allow
	case crashes >= q.crashes && (q.noIsolation || isolated > 0):
		return Refuse
	case q.noIsolation:
		return Allow
	default:
		return Isolate
	}
}

// count returns the number of crashes that are neither cleared nor expired, and how many
// of them happened while the request ran isolated.
func (rec *record) count(now time.Time) (crashes, isolated int) {
	for _, c := range rec.crashes {
		if c.cleared || !now.Before(c.expires) {
			continue
		}
		crashes++
		if c.isolated {
			isolated++
		}
	}
	if now.Before(rec.reportedUntil) {
		crashes = max(crashes, rec.reported)
	}
	return crashes, isolated
}

// RecordCrash records a crash of the backend server with the given requests in flight. The
// ID distinguishes the crash from all others of the mesh. A crash may be recorded again
// with further requests.
func (q *Quarantine) RecordCrash(now time.Time, id uint64, inFlight []Request) {
	for _, r := range inFlight {
		q.suspect(now, r, crash{id: id, isolated: len(inFlight) == 1, expires: now.Add(q.refusalPeriod)})
	}
}

// suspect adds a crash to the record of r.
func (q *Quarantine) suspect(now time.Time, r Request, c crash) {
	rec := q.lookup(now, r)
	// A frequent request is in flight at most crashes. Without isolation, only completions
	// tell it from the culprit.
	c.cleared = q.noIsolation && !c.isolated && q.completions.has(r)
	if !rec.add(c) {
		return
	}
	q.setExemption(now, r, &rec)
	q.completions.remove(r)
	q.update(r, rec)
}

// Report records that r has crashed at least the given number of servers, as a sender of r
// knows before the crashes themselves are known here. The report counts for ttl.
func (q *Quarantine) Report(now time.Time, r Request, crashes int, ttl time.Duration) {
	rec := q.lookup(now, r)
	rec.reported, rec.reportedUntil = max(rec.reported, crashes), now.Add(min(max(ttl, 0), q.refusalPeriod))
	q.setExemption(now, r, &rec)
	q.table.Add(r, rec)
}

// Complete records that r ran to completion and clears its known crashes.
func (q *Quarantine) Complete(now time.Time, r Request) {
	q.completions.add(r)
	if q.table.Len() == 0 {
		return
	}
	rec, ok := q.table.Peek(r)
	if !ok {
		return
	}
	if crashes, _ := rec.count(now); crashes == 0 {
		return
	}
	rec = q.lookup(now, r)
	for i := range rec.crashes {
		rec.crashes[i].cleared = true
	}
	rec.exempt, rec.reported = false, 0
	q.update(r, rec)
}

// maxCustomerBytes bounds the name of a customer in a suspicion of another node. The
// table keeps the names.
const maxCustomerBytes = 255

// Merge adds the crashes that another node knows of.
func (q *Quarantine) Merge(now time.Time, s message.Suspicion) {
	if len(s.Customer) > maxCustomerBytes {
		return
	}
	r := Request{Customer: s.Customer, Content: s.Content}
	rec := q.lookup(now, r)
	isChanged := false
	for _, c := range s.Crashes[:min(len(s.Crashes), maxCrashes)] {
		if c.TTL <= 0 {
			continue
		}
		expires := now.Add(min(c.TTL, q.refusalPeriod))
		isChanged = rec.add(crash{id: c.ID, isolated: c.Solo, cleared: c.Cleared, expires: expires}) || isChanged
	}
	if !isChanged {
		return
	}
	q.setExemption(now, r, &rec)
	q.repeat(r, &rec)
	q.table.Add(r, rec)
}

// setExemption exempts r from suspicion if its only crash happened beside other requests
// and r has completed here before.
func (q *Quarantine) setExemption(now time.Time, r Request, rec *record) {
	crashes, isolated := rec.count(now)
	rec.exempt = crashes == 1 && isolated == 0 && q.completions.has(r)
}

// add adds a crash, or what is new about a known one. It reports whether anything but the
// time of expiry has changed.
func (rec *record) add(c crash) bool {
	i := slices.IndexFunc(rec.crashes, func(known crash) bool { return known.id == c.id })
	if i < 0 {
		if len(rec.crashes) >= maxCrashes {
			rec.evict()
		}
		rec.crashes = append(rec.crashes, c)
		return true
	}
	known := &rec.crashes[i]
	before := *known
	known.isolated, known.cleared = known.isolated || c.isolated, known.cleared || c.cleared
	if c.expires.After(known.expires) {
		known.expires = c.expires
	}
	return known.isolated != before.isolated || known.cleared != before.cleared
}

// evict removes the crash that expires first, a cleared one if there is any.
func (rec *record) evict() {
	least := slices.MinFunc(rec.crashes, func(a, b crash) int {
		if a.cleared != b.cleared {
			if a.cleared {
				return -1
			}
			return 1
		}
		return a.expires.Compare(b.expires)
	})
	rec.crashes = slices.DeleteFunc(rec.crashes, func(c crash) bool { return c.id == least.id })
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

// repeat schedules a changed record to be sent again.
func (q *Quarantine) repeat(r Request, rec *record) {
	if rec.repeats == 0 && len(q.repeated) < q.tableSize {
		q.repeated = append(q.repeated, r)
	}
	rec.repeats = repeats
}

// Repeat appends records to out that other nodes may have missed. The caller sends them to
// one other node, a random one each time.
func (q *Quarantine) Repeat(now time.Time, out []message.Suspicion) []message.Suspicion {
	due, first := q.repeated, len(out)
	q.repeated = nil
	for i, r := range due {
		if len(out)-first >= maxRepeated {
			q.repeated = append(q.repeated, due[i:]...)
			break
		}
		rec, ok := q.table.Peek(r)
		if !ok {
			continue
		}
		// A single crash leads to nothing yet, and may be that of another request.
		if crashes, _ := rec.count(now); crashes < q.crashes-1 {
			rec.repeats = 0
		}
		if rec.repeats > 0 {
			rec.repeats--
			if s, ok := q.suspicion(now, r); ok {
				out = append(out, s)
			}
		}
		if rec.repeats > 0 {
			q.repeated = append(q.repeated, r)
		}
		q.table.Add(r, rec)
	}
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
		if crashes, _ := rec.count(now); crashes > 0 && !rec.exempt {
			n++
		}
	}
	return n
}

// lookup returns a copy of the record of r without expired crashes, or an empty one.
func (q *Quarantine) lookup(now time.Time, r Request) record {
	rec, _ := q.table.Peek(r)
	rec.crashes = slices.DeleteFunc(slices.Clone(rec.crashes), func(c crash) bool { return !now.Before(c.expires) })
	if !now.Before(rec.reportedUntil) {
		rec.reported = 0
	}
	return rec
}

// update stores rec and queues it for other nodes.
func (q *Quarantine) update(r Request, rec record) {
	q.repeat(r, &rec)
	q.table.Add(r, rec)
	if len(q.pending) < q.tableSize {
		q.pending = append(q.pending, r)
	}
}

// suspicion returns the record of r as a message, if any of its crashes has not expired.
func (q *Quarantine) suspicion(now time.Time, r Request) (message.Suspicion, bool) {
	s := message.Suspicion{Customer: r.Customer, Content: r.Content}
	rec, _ := q.table.Peek(r)
	for _, c := range rec.crashes {
		if ttl := c.expires.Sub(now); ttl > 0 {
			s.Crashes = append(s.Crashes, message.Crash{ID: c.id, Solo: c.isolated, Cleared: c.cleared, TTL: ttl})
		}
	}
	return s, len(s.Crashes) > 0
}
