package quota

import (
	"time"

	"github.com/papayapath/papayapath/pkg/term"
)

const (
	// prefetchTime is the time of whose demand tokens are prefetched, and
	// prefetchValidity the fraction of the validity of tokens that it has at most, so
	// that few of them expire unused.
	prefetchTime     = 300 * time.Millisecond
	prefetchValidity = 0.6
	// minPrefetchRate is the demand, in requests a second at this node, from which
	// tokens are prefetched. With less, too many of them expire unused.
	minPrefetchRate = 10
	// maxReturn is the longest time, beyond the wait for the allocators, for which
	// refused requests are told to return one after another.
	maxReturn = 2 * time.Second
	// maxJitter bounds the random part of the time after which a refused request is told
	// to return.
	maxJitter = 100 * time.Millisecond
)

// Decision is a decision on a request.
type Decision uint8

// Decisions.
const (
	Admitted    Decision = iota // the request has a token
	Pending                     // the request waits for a token
	Denied                      // the limit has been reached
	Unavailable                 // no allocator can be asked
)

// Request is a request for tokens to the allocator of a part.
type Request struct {
	Part   int
	Wanted int
}

// Quota admits requests of one customer at one entry node. All times are readings of a
// clock that also counts the time for which the process is suspended.
//
// A Quota is not safe for concurrent use.
type Quota struct {
	tokens   tokens
	waiting  int
	parts    [term.Parts]part
	order    [term.Parts]int // parts that can be asked, the preferred one first
	known    int             // number of parts in order
	asked    bool            // order has been set
	validity time.Duration   // of the last grant
	delay    time.Duration   // mean time of an answer
	demand   meter
	granted  meter
	back     time.Time // when the last refused request was told to return
}

// New returns the state of a customer that has sent no request.
func New() *Quota { return &Quota{} }

// Take decides on a request: it is Admitted, Denied or Pending. An admitted request uses
// a token until the returned time. A pending one waits until Granted or Refund admits
// it, Refused refuses it, or Abandon ends its wait; those that wait longest come first.
//
// Requests has to be called after each Take.
func (q *Quota) Take(now time.Time) (d Decision, expires time.Time) {
	q.demand.count(now, 1)
	q.tokens.expire(now)
	if expires, ok := q.tokens.take(); ok {
		return Admitted, expires
	}
	if q.isEmpty(now) {
		return Denied, time.Time{}
	}
	q.waiting++
	return Pending, time.Time{}
}

// Waiting returns the number of requests that wait for a token. While there are any,
// Requests and Refused have to be called at least every 20 ms.
func (q *Quota) Waiting() int { return q.waiting }

// isEmpty reports whether all parts that can be asked have no token now.
func (q *Quota) isEmpty(now time.Time) bool {
	for _, i := range q.order[:q.known] {
		if !q.parts[i].isEmpty(now) {
			return false
		}
	}
	return q.known > 0
}

// Requests appends the requests for tokens that are to be sent now. parts are the parts
// with a known allocator that can be reached, the preferred one first.
func (q *Quota) Requests(now time.Time, parts []int, out []Request) []Request {
	q.setOrder(parts)
	q.tokens.expire(now)
	need := q.need(now)
	for _, i := range q.order[:q.known] {
		p := &q.parts[i]
		p.expire(now)
		if need > 0 && p.isAskable(now) {
			p.wanted, p.sent = need, now
			out = append(out, Request{Part: i, Wanted: need})
			need = 0
		}
	}
	return out
}

func (q *Quota) setOrder(parts []int) {
	q.known, q.asked = 0, true
	for _, i := range parts {
		if i >= 0 && i < term.Parts && q.known < term.Parts {
			q.order[q.known] = i
			q.known++
		}
	}
}

// need returns the number of tokens that are missing: one for each waiting request, and
// those that are prefetched once half of them are used up.
func (q *Quota) need(now time.Time) int {
	held := q.tokens.total
	for i := range q.parts {
		if p := &q.parts[i]; p.isPending(now, q.slowTime()) {
			held += p.wanted
		}
	}
	target := q.prefetch(now)
	if q.waiting > 0 || 2*held < target {
		return q.waiting + target - held
	}
	return 0
}

// prefetch returns the number of tokens to hold.
func (q *Quota) prefetch(now time.Time) int {
	rate := q.demand.at(now)
	if rate < minPrefetchRate {
		return 0
	}
	return int(rate * min(prefetchTime.Seconds(), prefetchValidity*q.validity.Seconds()))
}

// slowTime returns the time after which an answer is slow.
func (q *Quota) slowTime() time.Duration {
	return min(max(slowFactor*q.delay, minSlowTime), maxSlowTime)
}

// Granted records the answer of the allocator of a part to a request that Requests
// returned at sent. It returns the number of waiting requests that are now admitted, and
// the time until which they use their tokens. A validity of 0 states that the allocator
// does not know the customer's tokens.
func (q *Quota) Granted(
	now, sent time.Time, part, granted int, validity, wait time.Duration,
) (admitted int, expires time.Time) {
	if part < 0 || part >= term.Parts {
		return 0, time.Time{}
	}
	p := &q.parts[part]
	if p.wanted == 0 || !p.sent.Equal(sent) {
		return 0, time.Time{} // given up, or answered before
	}
	if validity <= 0 {
		q.Failed(now, part)
		return 0, time.Time{}
	}
	granted = min(max(granted, 0), p.wanted)
	q.validity = min(validity, answerTime)
	q.delay += time.Duration(delayWeight * float64(now.Sub(sent)-q.delay))
	p.wanted, p.empty = 0, now.Add(max(wait, 0))
	return q.add(now, sent.Add(q.validity), granted)
}

// add hands tokens to the waiting requests and keeps the rest.
func (q *Quota) add(now, expires time.Time, n int) (admitted int, until time.Time) {
	if !now.Before(expires) {
		return 0, time.Time{}
	}
	q.granted.count(now, n)
	admitted = min(n, q.waiting)
	q.waiting -= admitted
	q.tokens.add(expires, n-admitted)
	return admitted, expires
}

// Failed records that a request to the allocator of a part got no answer, or that the
// answering node does not allocate the part.
func (q *Quota) Failed(now time.Time, part int) {
	if part >= 0 && part < term.Parts {
		q.parts[part].wanted = 0
		q.parts[part].failed = now.Add(failureDelay)
	}
}

// Refused returns the number of waiting requests, all of them, if they are to be refused
// now, and the reason: Denied if no part that can be asked has a token, Unavailable if
// no part can be asked. It is to be called after Requests.
func (q *Quota) Refused(now time.Time) (n int, d Decision) {
	if q.waiting == 0 || !q.asked {
		return 0, Pending
	}
	d = Unavailable
	slow := false
	for _, i := range q.order[:q.known] {
		p := &q.parts[i]
		switch {
		case p.isPending(now, q.slowTime()) || p.isAskable(now):
			return 0, Pending
		case p.isEmpty(now):
			d = Denied
		case p.wanted > 0:
			slow = true
		}
	}
	if slow && d == Unavailable {
		return 0, Pending
	}
	n, q.waiting = q.waiting, 0
	return n, d
}

// Abandon records that a waiting request waits no longer. If that is not because its
// client has left, it is refused as Unavailable.
func (q *Quota) Abandon() { q.waiting = max(0, q.waiting-1) }

// Refund returns the token of a request that has not run and will not run, which was to
// be used until expires. It returns 1 if a waiting request is admitted with it, and else
// 0.
func (q *Quota) Refund(now, expires time.Time) (admitted int) {
	if !now.Before(expires) {
		return 0
	}
	if q.waiting > 0 {
		q.waiting--
		return 1
	}
	q.tokens.expire(now)
	q.tokens.add(expires, 1)
	return 0
}

// RetryAfter returns the time after which a denied request should return: when an
// allocator has a token again, as far as it has told, and after those that were denied
// before it, at the rate at which this node gets tokens. random is in [0, 1).
func (q *Quota) RetryAfter(now time.Time, random float64) time.Duration {
	var wait time.Duration
	for i := range q.parts {
		if w := q.parts[i].empty.Sub(now); w > 0 && (wait == 0 || w < wait) {
			wait = w
		}
	}
	gap := maxReturn
	if rate := q.granted.at(now); rate*maxReturn.Seconds() > 1 {
		gap = time.Duration(float64(time.Second) / rate)
	}
	turn := max(wait, q.back.Sub(now))
	if turn > wait+maxReturn {
		turn = wait + time.Duration(random*float64(maxReturn))
	} else {
		q.back = now.Add(turn + gap)
	}
	return turn + time.Duration(random*float64(min(gap, maxJitter)))
}

// IsIdle reports whether the state holds nothing that matters, so that it may be dropped.
func (q *Quota) IsIdle(now time.Time) bool {
	q.tokens.expire(now)
	for i := range q.parts {
		p := &q.parts[i]
		p.expire(now)
		if p.wanted > 0 || p.isEmpty(now) {
			return false
		}
	}
	return q.waiting == 0 && q.tokens.total == 0
}
