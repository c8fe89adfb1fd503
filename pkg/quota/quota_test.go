package quota_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/quota"
)

const (
	validity = 500 * time.Millisecond
	trip     = 2 * time.Millisecond // to an allocator and back
)

var parts = []int{0, 1, 2, 3}

// at returns a time in seconds after origin.
func at(seconds float64) time.Time { return origin.Add(time.Duration(seconds * float64(time.Second))) }

// takeAll takes requests until one is not admitted and returns how many were.
func takeAll(q *quota.Quota, now time.Time) (n int, d quota.Decision) {
	for ; ; n++ {
		if d, _ = q.Take(now); d != quota.Admitted {
			return n, d
		}
	}
}

// empty lets all parts answer that they have no token for some time.
func empty(q *quota.Quota, now time.Time, wait time.Duration) {
	for range parts {
		for _, r := range q.Requests(now, parts, nil) {
			q.Granted(now.Add(trip), now, r.Part, 0, validity, wait)
		}
	}
}

// Guards against a request without a token, and against tokens that are used after they
// have expired, counted from the sending of the request for them.
func TestTokens(t *testing.T) {
	q := quota.New()
	d, _ := q.Take(origin)
	require.Equal(t, quota.Pending, d)
	require.Equal(t, []quota.Request{{Part: 2, Wanted: 1}}, q.Requests(origin, []int{2, 1}, nil))
	q.Take(origin)
	require.Equal(t, []quota.Request{{Part: 1, Wanted: 1}}, q.Requests(origin, []int{2, 1}, nil), "one for each")
	n, expires := q.Granted(at(0.1), origin, 2, 1, validity, 0)
	require.Equal(t, 1, n)
	require.Equal(t, at(0.5), expires)
	q.Abandon()
	n, _ = q.Granted(at(0.2), origin, 1, 1, validity, 0)
	require.Zero(t, n, "no request waits")
	d, expires = q.Take(at(0.49))
	require.Equal(t, quota.Admitted, d)
	require.Equal(t, at(0.5), expires)
	require.Zero(t, q.Refund(at(0.5), expires))
	d, _ = q.Take(at(0.5))
	require.Equal(t, quota.Pending, d, "the returned token has expired")
	require.Equal(t, 1, q.Refund(at(0.5), at(0.6)), "a returned token admits the request that waits")
	require.Zero(t, q.Waiting())
}

// Guards against answers that are late, repeated, or grant more than was asked for.
func TestOddAnswers(t *testing.T) {
	q := quota.New()
	q.Take(origin)
	q.Requests(origin, parts, nil)
	n, _ := q.Granted(at(0.1), at(-0.1), 0, 1, validity, 0)
	require.Zero(t, n, "not the request in progress")
	n, _ = q.Granted(at(0.6), origin, 0, 1, validity, 0)
	require.Zero(t, n, "expired")
	q.Requests(at(0.7), parts[:1], nil)
	n, _ = q.Granted(at(0.8), at(0.7), 0, math.MaxInt, time.Hour, -time.Hour)
	require.Equal(t, 1, n)
	n, d := takeAll(q, at(0.8))
	require.Zero(t, n)
	require.Equal(t, quota.Pending, d)
	n, _ = q.Granted(at(0.8), at(0.7), 0, 1, validity, 0)
	require.Zero(t, n, "answered before")
	for _, part := range []int{-1, 4, math.MaxInt} {
		q.Granted(at(1), at(1), part, 1, validity, 0)
		q.Failed(at(1), part)
		q.Requests(at(1), []int{part, part, part, part, part, part}, nil)
	}
}

// Guards against a request that is told to return long after there is a token, because one
// was denied before the first tokens were granted, as at the start of a term.
func TestReturnAfterFirstTokens(t *testing.T) {
	q := quota.New()
	q.Take(origin)
	empty(q, origin, 500*time.Millisecond)
	q.Refused(origin)
	q.RetryAfter(origin, 0, 0.5)
	for range 4 {
		q.Take(at(0.51))
	}
	for range parts {
		for _, r := range q.Requests(at(0.51), parts, nil) {
			q.Granted(at(0.51), at(0.51), r.Part, 1, validity, 500*time.Millisecond)
		}
	}
	require.Less(t, q.RetryAfter(at(0.55), 400*time.Millisecond, 0.5), time.Second)
}

// Guards against a customer that is refused for as long as an absurd answer says.
func TestEndlessWait(t *testing.T) {
	q := quota.New()
	q.Take(origin)
	empty(q, origin, math.MaxUint32*time.Millisecond)
	require.Less(t, q.RetryAfter(at(1), 0, 0.5), 2*time.Minute)
	d, _ := q.Take(at(120))
	require.Equal(t, quota.Pending, d)
}

// Guards against a message for each request that is refused, and against a time of return
// that is not true.
func TestDenied(t *testing.T) {
	q := quota.New()
	q.Take(origin)
	empty(q, origin, 300*time.Millisecond)
	n, d := q.Refused(at(0.01))
	require.Equal(t, 1, n)
	require.Equal(t, quota.Denied, d)
	for i := range 100 {
		now := at(0.01 + 0.002*float64(i))
		d, _ := q.Take(now)
		require.Equal(t, quota.Denied, d)
		require.Empty(t, q.Requests(now, parts, nil))
		delay := q.RetryAfter(now, 0, 0.5)
		require.GreaterOrEqual(t, now.Add(delay), at(0.302), "the earliest time of a token")
		require.LessOrEqual(t, delay, 3*time.Second)
	}
	d, _ = q.Take(at(0.31))
	require.Equal(t, quota.Pending, d)
	require.Len(t, q.Requests(at(0.31), parts, nil), 1)
}

// Guards against refused requests that all return at the same time.
func TestReturnsAreSpread(t *testing.T) {
	q := quota.New()
	for i := range 20 {
		now := at(0.05 * float64(i))
		q.Take(now)
		for _, r := range q.Requests(now, parts, nil) {
			q.Granted(now.Add(trip), now, r.Part, 1, validity, 0)
		}
	}
	q.Take(at(1))
	empty(q, at(1), 100*time.Millisecond)
	q.Refused(at(1.01))
	last := time.Duration(0)
	for range 10 {
		delay := q.RetryAfter(at(1.01), 0, 0)
		require.Greater(t, delay, last)
		last = delay
	}
	require.InDelta(t, 0.1+9.0/15, last.Seconds(), 0.3, "as fast as tokens came")
}

// Guards against a customer that is refused, or waits, because one allocator is lost or
// slow, and against a refusal for its limit if no allocator was asked.
func TestLostAllocators(t *testing.T) {
	q := quota.New()
	q.Take(origin)
	require.Equal(t, 0, q.Requests(origin, parts, nil)[0].Part)
	require.Empty(t, q.Requests(at(0.02), parts, nil))
	require.Equal(t, 1, q.Requests(at(0.03), parts, nil)[0].Part, "the first one is slow")
	q.Failed(at(0.031), 1)
	require.Equal(t, 2, q.Requests(at(0.031), parts, nil)[0].Part)
	q.Granted(at(0.032), at(0.031), 2, 0, 0, 0)
	require.Equal(t, 3, q.Requests(at(0.033), parts, nil)[0].Part, "a node without the term")
	n, d := q.Refused(at(0.04))
	require.Zero(t, n)
	require.Equal(t, quota.Pending, d)
	q.Granted(at(0.05), at(0.033), 3, 0, validity, time.Second)
	require.Empty(t, q.Requests(at(0.05), parts, nil))
	n, d = q.Refused(at(0.05))
	require.Equal(t, 1, n)
	require.Equal(t, quota.Denied, d, "the only one that answered has no token")

	q = quota.New()
	q.Take(origin)
	require.Empty(t, q.Requests(origin, nil, nil))
	n, d = q.Refused(origin)
	require.Equal(t, 1, n)
	require.Equal(t, quota.Unavailable, d)
	q.Take(at(1))
	require.Len(t, q.Requests(at(1), parts[:1], nil), 1, "an allocator is known again")
	require.Empty(t, q.Requests(at(1.5), parts[:1], nil))
	require.Empty(t, q.Requests(at(2.1), parts[:1], nil), "no answer for a second")
	require.Len(t, q.Requests(at(3.2), parts[:1], nil), 1)
}

// Guards against a message for each request of a customer with much demand at a node, and
// against tokens that are fetched for customers with little.
func TestPrefetch(t *testing.T) {
	for rate, most := range map[float64]float64{5: 1, 100: 0.2, 1000: 0.05} {
		q := quota.New()
		messages, admitted, unused := 0, 0, 0
		for i := range int(5 * rate) {
			now := at(float64(i) / rate)
			if d, _ := q.Take(now); d == quota.Admitted {
				admitted++
			}
			for _, r := range q.Requests(now, parts, nil) {
				messages++
				unused += r.Wanted
				n, _ := q.Granted(now.Add(trip), now, r.Part, r.Wanted, validity, 0)
				admitted += n
			}
		}
		require.Equal(t, int(5*rate), admitted)
		require.LessOrEqual(t, float64(messages), most*5*rate, "rate %v", rate)
		require.LessOrEqual(t, float64(unused-admitted), 0.06*5*rate, "rate %v", rate)
	}
}

// Guards against state that grows with the number of returned tokens, and against an
// allocation for each request.
func TestStateIsBounded(t *testing.T) {
	q := quota.New()
	for i := range 1000 {
		q.Refund(origin, at(1+float64((i*7919)%1000)/1000))
	}
	n, _ := takeAll(q, origin)
	require.Equal(t, 1000, n, "tokens expire early, and are not lost")
	q.Abandon()
	q.Abandon()
	require.Zero(t, q.Waiting())
	q.Refund(at(10), at(11))
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		q.Take(at(10))
		q.Refund(at(10), at(11))
	}))
}

func BenchmarkTake(b *testing.B) {
	q := quota.New()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := origin.Add(time.Duration(i) * 100 * time.Microsecond)
		q.Take(now)
		for _, r := range q.Requests(now, parts, nil) {
			q.Granted(now, now, r.Part, r.Wanted, validity, 0)
		}
	}
}

// Load: a customer at twice its limit, whose requests have an objective. Guards against a
// denied request that returns when it can only be late, and then takes the token of one
// that would be in time.
func TestReturnBeforeTheObjective(t *testing.T) {
	q := quota.New()
	now := at(0)
	parts := []int{0}
	_, _ = q.Take(now)
	for _, r := range q.Requests(now, parts, nil) {
		q.Granted(now, now, r.Part, 0, time.Second, 100*time.Millisecond)
	}
	q.Refused(now)
	const latest = 400 * time.Millisecond
	for i := range 20 {
		delay := q.RetryAfter(now, latest, float64(i)/20)
		require.GreaterOrEqual(t, delay, 100*time.Millisecond, "the part is empty until then")
		require.LessOrEqual(t, delay, latest+100*time.Millisecond)
	}
	require.Greater(t, q.RetryAfter(now, 50*time.Millisecond, 0), 400*time.Millisecond, "it cannot be in time")
}
