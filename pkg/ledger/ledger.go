package ledger

import (
	"time"

	"github.com/papayapath/papayapath/pkg/message"
)

const (
	// DefaultWindow is how long a record is kept after the issue of its key.
	DefaultWindow = 10 * time.Minute
	// DefaultBody is the largest answer body that is kept, in bytes.
	DefaultBody = 64 << 10
	// DefaultBytes bounds all kept answers together, in bytes.
	DefaultBytes = 32 << 20
	// DefaultKeys bounds the number of records. A record takes about 250
	// bytes, so this many take 64 MB.
	DefaultKeys = 1 << 18
)

// Ledger holds the idempotency records of one owner. It is not safe for
// concurrent use.
type Ledger struct {
	window  time.Duration
	body    int
	limit   int
	keys    int
	bytes   int
	horizon time.Time // keys issued up to here may have been dropped
	index   map[string]uint64
	records ring
}

// Option sets a bound of a ledger.
type Option func(*Ledger)

// New returns an empty ledger.
func New(options ...Option) *Ledger {
	l := &Ledger{
		window: DefaultWindow, body: DefaultBody, limit: DefaultBytes, keys: DefaultKeys,
		index: make(map[string]uint64),
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// WithWindow sets how long a record is kept after the issue of its key. It
// must be the longest window of all contracts in force.
func WithWindow(d time.Duration) Option { return func(l *Ledger) { l.window = d } }

// WithBody sets the largest answer body that is kept, in bytes.
func WithBody(bytes int) Option { return func(l *Ledger) { l.body = bytes } }

// WithBytes bounds the kept answers together, in bytes.
func WithBytes(bytes int) Option { return func(l *Ledger) { l.limit = bytes } }

// WithKeys bounds the number of records.
func WithKeys(n int) Option { return func(l *Ledger) { l.keys = n } }

// SetWindow changes the window. Keys that a shorter window has dropped stay
// Passed under a longer one.
func (l *Ledger) SetWindow(now time.Time, d time.Duration) {
	l.Sweep(now)
	l.window = d
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.index) }

// Bytes returns the size of the kept answers.
func (l *Ledger) Bytes() int { return l.bytes }

// Find returns the state of the key of an offer that was issued at issued.
func (l *Ledger) Find(now time.Time, offer *message.Offer, issued time.Time) State {
	l.Sweep(now)
	if run, ok := l.index[offer.Key]; ok {
		return l.records.at(run).match(offer)
	}
	switch {
	case !issued.After(l.horizon):
		return Passed
	case len(l.index) >= l.keys:
		return Full
	}
	return Absent
}

// Begin enters a key that Find found Absent and returns the ticket of its run.
func (l *Ledger) Begin(offer *message.Offer, issued time.Time) Ticket {
	run := l.records.push(record{
		key: offer.Key, customer: offer.Customer, content: offer.Content,
		issued: issued, state: Running,
	})
	l.index[offer.Key] = run
	return Ticket{Key: offer.Key, Run: run}
}

// Answer returns the kept answer and body of a Done key. The answer is shared
// and must not be changed.
func (l *Ledger) Answer(key string) (*message.Answer, []byte) {
	run, ok := l.index[key]
	if !ok {
		return nil, nil
	}
	r := l.records.at(run)
	return r.answer, r.body
}

// Done notes that a run completed. The ledger keeps answer and body, which
// must not be changed later. Found is false if the run isn't open.
func (l *Ledger) Done(t Ticket, answer *message.Answer, body []byte) (found bool) {
	r := l.open(t)
	if r == nil {
		return false
	}
	r.state = Bodiless
	size := weight(answer, body)
	if len(body) <= l.body && l.bytes+size <= l.limit {
		r.state, r.answer, r.body, r.size = Done, answer, body, size
		l.bytes += size
	}
	return true
}

// Unknown notes that a run ended in doubt. A later Done still counts.
func (l *Ledger) Unknown(t Ticket) (found bool) {
	r := l.open(t)
	if r == nil {
		return false
	}
	r.state = Doubtful
	return true
}

// NotRun forgets a run that was handed back unread, so that its key may run
// again. A run in doubt stays in doubt.
func (l *Ledger) NotRun(t Ticket) (found bool) {
	r := l.open(t)
	if r == nil || r.state != Running {
		return false
	}
	l.drop(r)
	return true
}

// open returns the record of a run that is running or in doubt, or nil.
func (l *Ledger) open(t Ticket) *record {
	run, ok := l.index[t.Key]
	if !ok || run != t.Run {
		return nil
	}
	r := l.records.at(run)
	if r.state != Running && r.state != Doubtful {
		return nil
	}
	return r
}

// Sweep drops the records whose window is over.
func (l *Ledger) Sweep(now time.Time) {
	if h := now.Add(-l.window); h.After(l.horizon) {
		l.horizon = h
	}
	for l.records.len() > 0 {
		r := l.records.front()
		if r.state != Absent && r.issued.After(l.horizon) {
			return
		}
		if r.state != Absent {
			l.drop(r)
		}
		l.records.pop()
	}
}

func (l *Ledger) drop(r *record) {
	l.bytes -= r.size
	delete(l.index, r.key)
	*r = record{}
}
