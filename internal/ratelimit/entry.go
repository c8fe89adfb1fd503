package ratelimit

import (
	"math/rand/v2"
	"time"

	"github.com/papayapath/papayapath/pkg/quota"
	"github.com/papayapath/papayapath/pkg/term"
)

// pollInterval is how often the requests that wait for tokens are looked at.
const pollInterval = 20 * time.Millisecond

// entry is the state of one customer at this entry node.
type entry struct {
	name    string
	quota   *quota.Quota
	waiting []*waiter // in order of arrival
	polling bool
}

// waiter is a request that waits for a token.
type waiter struct {
	result chan result // has room for one
}

// result ends the wait of a request.
type result struct {
	decision quota.Decision
	expires  time.Time // of the token
}

// release ends the wait of the first n requests.
func (e *entry) release(n int, r result) {
	for _, w := range e.waiting[:n] {
		w.result <- r
	}
	e.waiting = append(e.waiting[:0], e.waiting[n:]...)
}

// remove ends the wait of a request without a result. It returns false if it has one.
func (e *entry) remove(w *waiter) bool {
	for i, other := range e.waiting {
		if other == w {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Token is the permission to run one request.
type Token struct {
	customer string
	expires  time.Time
}

// Admit takes a token for a request of a customer with a limit. It waits for one for up
// to maxWait, unless canceled is closed before. The request is admitted, or it is beyond
// the limit (quota.Denied), or no allocator could be asked (quota.Unavailable).
func (l *Limiter) Admit(customer string, maxWait time.Duration, canceled <-chan struct{}) (Token, quota.Decision) {
	l.mu.Lock()
	now := l.clock()
	e := l.entry(customer)
	d, expires := e.quota.Take(now)
	var w *waiter
	if d == quota.Pending {
		w = &waiter{result: make(chan result, 1)}
		e.waiting = append(e.waiting, w)
	}
	l.requestTokens(now, e)
	l.unlock()
	if w != nil {
		var r result
		timer := time.NewTimer(maxWait)
		defer timer.Stop()
		select {
		case r = <-w.result:
		case <-timer.C:
			r = l.abandon(e, w)
		case <-canceled:
			r = l.abandon(e, w)
		}
		d, expires = r.decision, r.expires
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch d {
	case quota.Admitted:
		l.stats.Admitted++
	case quota.Denied:
		l.stats.Denied++
	default:
		l.stats.Unavailable++
	}
	return Token{customer: customer, expires: expires}, d
}

// entry returns the state of a customer and creates it if necessary. Customers are those
// of the configuration, which bounds their number.
func (l *Limiter) entry(customer string) *entry {
	e := l.customers[customer]
	if e == nil {
		e = &entry{name: customer, quota: quota.New()}
		l.customers[customer] = e
	}
	return e
}

// abandon ends the wait of a request that waits no longer.
func (l *Limiter) abandon(e *entry, w *waiter) result {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !e.remove(w) {
		return <-w.result
	}
	e.quota.Abandon()
	return result{decision: quota.Unavailable}
}

// Refund returns the token of a request that has not run and will not run.
func (l *Limiter) Refund(t Token) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.customers[t.customer]; e != nil {
		l.stats.Refunded++
		e.release(min(len(e.waiting), e.quota.Refund(l.clock(), t.expires)), result{expires: t.expires})
	}
}

// RetryAfter returns the time after which a request beyond the limit should return.
func (l *Limiter) RetryAfter(customer string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.customers[customer]
	if e == nil {
		return 0
	}
	return e.quota.RetryAfter(l.clock(), rand.Float64())
}

// requestTokens requests the tokens that a customer needs now and ends the waits of
// requests that cannot get any. The caller must hold l.mu.
func (l *Limiter) requestTokens(now time.Time, e *entry) {
	parts := l.reachableParts(now)
	var room [term.Parts]quota.Request
	for {
		granted := false
		for _, r := range e.quota.Requests(now, parts, room[:0]) {
			granted = l.requestPart(now, e, r) || granted
		}
		// Tokens of the own parts may not be all that is needed.
		if !granted || e.quota.Waiting() == 0 {
			break
		}
	}
	if n, d := e.quota.Refused(now); n > 0 {
		e.release(len(e.waiting), result{decision: d})
	}
	if e.quota.Waiting() > 0 && !e.polling {
		e.polling = true
		time.AfterFunc(pollInterval, func() { l.poll(e) })
	}
}

// requestPart requests tokens of one part. It returns true if this node allocates them
// itself, so that the answer is known.
func (l *Limiter) requestPart(now time.Time, e *entry, r quota.Request) bool {
	holder, _ := l.terms[r.Part].Holder()
	if holder == l.self {
		granted, validity, wait := l.grant(now, r.Part, e.name, r.Wanted)
		l.granted(now, e, now, r.Part, granted, validity, wait)
		return true
	}
	l.lastID++
	l.requests[l.lastID] = request{customer: e.name, part: r.Part, sent: now}
	l.stats.Messages++
	l.outbox = append(l.outbox, message{node: holder, id: l.lastID, part: r.Part, customer: e.name, wanted: r.Wanted})
	return false
}

// fail records that a request for tokens was not sent.
func (l *Limiter) fail(now time.Time, id uint64) {
	r, ok := l.requests[id]
	delete(l.requests, id)
	if e := l.customers[r.customer]; ok && e != nil {
		e.quota.Failed(now, r.part)
		l.requestTokens(now, e)
	}
}

// reachableParts returns the parts with an allocator that can be asked, those of the own
// failure domain first.
func (l *Limiter) reachableParts(now time.Time) []int {
	var near, far []int
	for i, t := range l.terms {
		holder, ok := t.Holder()
		switch {
		case !ok:
		case holder == l.self && t.Holds(now):
			near = append([]int{i}, near...)
		case holder == l.self || !l.network.IsLinked(holder):
		case l.near[i]:
			near = append(near, i)
		default:
			far = append(far, i)
		}
	}
	return append(near, far...)
}

// poll looks at the requests of a customer that wait.
func (l *Limiter) poll(e *entry) {
	l.mu.Lock()
	defer l.unlock()
	e.polling = false
	l.requestTokens(l.clock(), e)
	l.forgetRequests()
}

// maxRequests bounds the number of unanswered requests for tokens. Their answers are of
// no use after a second.
const maxRequests = 4096

// forgetRequests forgets unanswered requests if there are too many.
func (l *Limiter) forgetRequests() {
	if len(l.requests) > maxRequests {
		clear(l.requests)
	}
}

// HandleGrant processes the answer to a request for tokens.
func (l *Limiter) HandleGrant(id uint64, granted int, validity, wait time.Duration) {
	l.mu.Lock()
	defer l.unlock()
	r, ok := l.requests[id]
	if !ok {
		return
	}
	delete(l.requests, id)
	if e := l.customers[r.customer]; e != nil {
		now := l.clock()
		l.granted(now, e, r.sent, r.part, granted, validity, wait)
		l.requestTokens(now, e)
	}
}

// granted passes granted tokens to the requests that wait.
func (l *Limiter) granted(now time.Time, e *entry, sent time.Time, part, granted int, validity, wait time.Duration) {
	admitted, expires := e.quota.Granted(now, sent, part, granted, validity, wait)
	e.release(min(len(e.waiting), admitted), result{expires: expires})
}
