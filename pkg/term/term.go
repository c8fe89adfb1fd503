package term

import (
	"time"

	"github.com/papayapath/papayapath/pkg/lease"
)

const (
	// duration is how long a term lasts from the start of the append. Another node
	// takes the part over this long after the holder was lost.
	duration = 15 * time.Second
	// renewals is the number of renewals within the duration of a term. A term that was
	// renewed just before the log went down then lasts for 12.5 s at least.
	renewals = 6
	// rankDelay is the time by which a candidate is later than the one ranked before it.
	// It covers an append and the announcement of its result.
	rankDelay = time.Second
	// retryDelay is the time between two calls of a holder while the log is down.
	retryDelay = 500 * time.Millisecond
	// maxRetryDelay bounds the time between two calls of a candidate while the log is
	// down. A candidate of rank k makes one call in k + 1 s up to that.
	maxRetryDelay = 8 * time.Second
)

// Term is the state of one part at one node. All times are readings of a clock that
// also counts the time for which the process is suspended.
//
// At most one node at a time holds the right to allocate a part. A node appends only at
// the end of the partition that it knows, within one generation of the log, and only if
// no other node can hold the right while the partition ends there. Its own right counts
// from the start of the append. A record that was written in another generation than
// the one in which its writer knew the end, because the log came back from a copy
// meanwhile, gives no right; Record.Generation shows it.
//
// A Term is not safe for concurrent use.
type Term struct {
	part        int
	self        string
	incarnation int64
	duration    time.Duration
	first       uint64 // generation at the first start of the system, or 0

	known      bool // a record, or its absence, has been observed
	newest     Record
	end        int64
	generation uint64
	observed   time.Time // when newest was first observed

	expires time.Time // end of the own right; zero if there is none
	period  uint64

	last    Record    // of the last own append
	start   time.Time // of the last own append; zero if it gives no right
	calling Kind      // call in progress, or Wait
	rank    int       // of this node at the last call of Next

	doubtful bool      // the newest record has to be read
	asked    time.Time // when that became known
	gone     time.Time // when the process of the holder was found to be gone
	retry    time.Time // no call before
}

// Option sets a property of a Term.
type Option func(*Term)

// WithFirstGeneration states the generation of the log at the first start of the whole
// system. A partition without a record in that generation never had one, and may be
// claimed at once. In a later one, the log may have come back from a copy that is older
// than the record of a holder that is alive. 0 states that the generation is unknown. A
// log that has never come back from a copy may state no generation, which counts as 0.
func WithFirstGeneration(g uint64) Option { return func(t *Term) { t.first = g } }

// WithDuration sets how long a term lasts. It has to be the same at all nodes.
func WithDuration(d time.Duration) Option { return func(t *Term) { t.duration = d } }

// New returns the state of a part at the process with the given address and
// incarnation, which knows nothing of the part yet.
func New(part int, self string, incarnation int64, options ...Option) *Term {
	t := &Term{part: part, self: self, incarnation: incarnation, duration: duration}
	for _, o := range options {
		o(t)
	}
	return t
}

// Part returns the number of the part.
func (t *Term) Part() int { return t.part }

// Observe records the newest record of the partition and the offset at which the
// partition ended after it, or 0 if there is no record. For a record that was read,
// generation is that of the log, which must have been the same before and after the
// call, and now is the time after the call. For an announcement, it is that of the
// record.
func (t *Term) Observe(now time.Time, r Record, end int64, generation uint64) {
	if t.known && (generation < t.generation || generation == t.generation && end <= t.end) {
		return
	}
	t.known, t.doubtful, t.gone = true, false, time.Time{}
	t.newest, t.end, t.generation, t.observed = r, end, generation, now
	switch {
	case t.isOwn() && r.Number == t.last.Number:
		t.extend(now)
	case t.isSound() && !t.isOwn():
		t.expires = time.Time{}
	}
}

// isSound reports whether the writer of the newest record knew the end of the partition
// in the generation in which the record was appended. Otherwise the record gives no
// right to its writer, and others may hold the right of a record that was lost.
func (t *Term) isSound() bool {
	return t.known && t.end > 0 && t.newest.Generation == t.generation
}

// isOwn reports whether the newest record is a sound one of this process.
func (t *Term) isOwn() bool {
	return t.isSound() && t.newest.Holder == t.self && t.newest.Incarnation == t.incarnation
}

// extend starts or extends the right by the last append, unless it was a release or was
// given up meanwhile.
func (t *Term) extend(now time.Time) {
	if t.newest.Released || t.start.IsZero() {
		return
	}
	end := t.start.Add(t.duration)
	if !now.Before(end) || !end.After(t.expires) {
		return
	}
	if !t.Holds(now) {
		t.period++
	}
	t.expires = end
}

// Next returns what to do now. rank is the number of linked candidates before this
// node, or -1 if it is no candidate, for example because it is stopping.
// holderIncarnation is the highest known incarnation of the address that Holder
// returns, or 0. Before a call is made, Begin has to be called.
func (t *Term) Next(now time.Time, rank int, holderIncarnation int64) Action {
	t.rank = rank
	switch {
	case rank < 0 || t.calling != Wait:
		return t.wait(now, now.Add(t.duration))
	case now.Before(t.retry):
		return t.wait(now, t.retry)
	case !t.known || t.doubtful:
		return t.read(now, rank)
	case t.Holds(now):
		return t.renew(now)
	}
	due := t.claimable(now, rank, holderIncarnation)
	if now.Before(due) {
		return t.wait(now, due)
	}
	return t.append(false)
}

// wait waits until a time or the end of the own right, whichever is earlier.
func (t *Term) wait(now, until time.Time) Action {
	if t.Holds(now) && t.expires.Before(until) {
		until = t.expires
	}
	return Action{Until: until}
}

func (t *Term) read(now time.Time, rank int) Action {
	if t.asked.IsZero() {
		t.asked = now
	}
	due := t.asked
	if !t.Holds(now) {
		due = due.Add(time.Duration(rank) * rankDelay)
	}
	if now.Before(due) {
		return t.wait(now, due)
	}
	return Action{Kind: Read}
}

// renew renews the own right. It does so at once if the record that gave it is no longer
// the newest one, as after the log came back from a copy.
func (t *Term) renew(now time.Time) Action {
	due := t.expires.Add(t.duration/renewals - t.duration)
	if t.isOwn() && now.Before(due) {
		return t.wait(now, due)
	}
	return t.append(false)
}

// claimable returns the time from which no other node can hold the right, as long as
// the partition ends where it is known to end.
func (t *Term) claimable(now time.Time, rank int, holderIncarnation int64) time.Time {
	later := time.Duration(rank) * rankDelay
	switch {
	case t.isOwn() && !t.newest.Released:
		return t.observed
	case t.end == 0 && t.first != 0 && t.generation <= t.first:
		return t.observed.Add(later)
	case t.isSound() && t.newest.Released:
		return t.observed.Add(later)
	case t.isSound() && t.newest.Holder == t.self && t.incarnation > t.newest.Incarnation:
		return t.observed
	case t.isSound() && t.newest.Holder != t.self && holderIncarnation > t.newest.Incarnation:
		if t.gone.IsZero() {
			t.gone = now
		}
		return t.gone.Add(later)
	}
	return t.observed.Add(lease.Stretch(t.duration) + later)
}

func (t *Term) append(released bool) Action {
	return Action{Kind: Append, At: t.end, Record: Record{
		Holder: t.self, Incarnation: t.incarnation, Number: t.last.Number + 1,
		Generation: t.generation, Released: released,
	}}
}

// Begin records that the call of an action is about to be made. Until its result is
// recorded, Next returns no further call.
func (t *Term) Begin(now time.Time, a Action) {
	t.calling = a.Kind
	if a.Kind == Append {
		t.last, t.start = a.Record, now
	}
}

// Refreshed records the result of a read, as Observe does. If err is not nil, the record
// and its position have no meaning.
func (t *Term) Refreshed(now time.Time, r Record, end int64, generation uint64, err error) {
	t.calling = Wait
	if err != nil {
		t.delay(now)
		return
	}
	t.doubtful = false
	t.Observe(now, r, end, generation)
}

// Appended records the result of the append that was begun last. end is the end of the
// partition after it, if it is Done, and generation is that of the log as it is known
// after the answer.
func (t *Term) Appended(now time.Time, end int64, generation uint64, result Result) {
	t.calling = Wait
	switch {
	case result == Done && generation == t.last.Generation:
		t.Observe(now, t.last, end, generation)
	case result == Rejected:
		t.delay(now)
	default:
		t.doubtful, t.asked = true, now
		if result == Unknown {
			t.delay(now)
		}
	}
}

// delay puts off the next call after a failed one.
func (t *Term) delay(now time.Time) {
	d := min(time.Duration(t.rank+1)*rankDelay, maxRetryDelay)
	if t.Holds(now) {
		d = retryDelay
	}
	t.retry = now.Add(d)
}

// Holds reports whether this node may allocate the part at the given time.
func (t *Term) Holds(now time.Time) bool { return now.Before(t.expires) }

// Period returns a number that changes each time the node gets the right without having
// held it immediately before. Another node may have held it meanwhile.
func (t *Term) Period() uint64 { return t.period }

// Release ends the own right and returns an append that lets other nodes claim the part
// at once. It returns false if there is nothing to append, and also while a call is in
// progress: it is to be called again after that. A node that stops passes the rank
// -1 to Next from then on.
func (t *Term) Release() (Action, bool) {
	t.expires = time.Time{}
	t.start = time.Time{}
	if t.calling != Wait || !t.isOwn() || t.newest.Released {
		return Action{}, false
	}
	return t.append(true), true
}

// Holder returns the address of the node that wrote the newest known record. It returns
// false if there is none, or if the record is a release.
func (t *Term) Holder() (address string, ok bool) {
	return t.newest.Holder, t.end > 0 && !t.newest.Released
}

// Announcement returns the newest record and its end if it was written by this process,
// for the other nodes to observe. It returns false if there is none.
func (t *Term) Announcement() (r Record, end int64, ok bool) { return t.newest, t.end, t.isOwn() }
