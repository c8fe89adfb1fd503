package allocator_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/allocator"
	"github.com/papayapath/papayapath/pkg/term"
)

const name = "quimper"

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	bounds = allocator.Bounds{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}
)

// at returns a time in seconds after start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// newAllocator returns an allocator that has held all parts for a long time.
func newAllocator(b allocator.Bounds, rate, burst float64) *allocator.Allocator {
	a := allocator.New(b)
	a.SetLimit(at(-1e5), name, rate, burst)
	for part := range term.Parts {
		a.Start(at(-1e5), part)
	}
	return a
}

// granted returns how many of the wanted tokens all parts grant.
func granted(a *allocator.Allocator, now time.Time, wanted int) (sum float64) {
	for part := range term.Parts {
		n, _, _ := a.Grant(now, part, name, wanted)
		sum += float64(n)
	}
	return sum
}

// Guards against a depth and a validity of tokens that allow more requests than the bound
// in a window, or much less than the limit, for any limit and any bounds.
func TestDepthAndValidity(t *testing.T) {
	for _, b := range []allocator.Bounds{
		bounds,
		{Window: 5 * time.Second, Overrun: 0.1},
		{Window: 5 * time.Second, Overrun: 0.1, Slack: 20, Delay: 300 * time.Millisecond},
		{Window: time.Second, Slack: 4},
		{},
		{Window: -1, Overrun: math.Inf(1), Slack: math.NaN(), Delay: -1},
	} {
		for _, rate := range []float64{0.01, 0.7, 5, 757, 1e5, 1e9} {
			for _, burst := range []float64{0, 0.3, 5, 757, 1e9} {
				a := newAllocator(b, rate, burst)
				_, validity, _ := a.Grant(start, 0, name, 0)
				require.LessOrEqual(t, validity, 500*time.Millisecond)
				window := max(b.Window, time.Millisecond)
				overrun, slack := min(b.Overrun, 1), b.Slack
				if math.IsNaN(slack) {
					slack = 0
				}
				most := (rate*window.Seconds()+burst)*(1+overrun) + slack
				sum := 0.0
				for i := range 101 {
					length := (window + max(0, b.Delay) + validity).Seconds()
					sum += granted(a, at(length*float64(i)/100), math.MaxInt)
				}
				require.LessOrEqual(t, sum, most, "%+v, rate %v, burst %v", b, rate, burst)
				if b == bounds && burst < 1e4*rate { // else the buckets are not full yet
					require.GreaterOrEqual(t, sum, math.Floor(rate*window.Seconds()+burst), "rate %v, burst %v", rate, burst)
				}
			}
		}
	}
}

// Guards against tokens that have expired when they arrive, so that a customer is never
// served, where the settings allow no overrun and the customer has no burst.
func TestNoHeadroom(t *testing.T) {
	b := allocator.Bounds{Window: 5 * time.Second}
	for _, burst := range []float64{0, 1} {
		a := newAllocator(b, 40, burst)
		n, validity, _ := a.Grant(start, 0, name, 1)
		require.Equal(t, 1, n)
		require.GreaterOrEqual(t, validity, 100*time.Millisecond)
	}
	a := newAllocator(b, 0.5, 0)
	n, validity, wait := a.Grant(start, 0, name, 1)
	require.Zero(t, n, "less than a request for each part")
	require.Positive(t, validity, "the part is held")
	require.Positive(t, wait)
}

// Guards against absurd values that panic, overflow or grant tokens.
func TestAbsurdValues(t *testing.T) {
	for _, v := range []float64{math.NaN(), math.Inf(-1), -1, 0} {
		require.Zero(t, granted(newAllocator(bounds, v, 5), start, 10))
		require.Zero(t, granted(newAllocator(bounds, v, v), start, 10))
	}
	a := newAllocator(bounds, math.Inf(1), math.Inf(1))
	require.Positive(t, granted(a, start, math.MaxInt))
	require.Zero(t, granted(newAllocator(bounds, 5, 5), start, math.MinInt))
	a = newAllocator(bounds, 1e-300, 0)
	for range 100 {
		_, _, wait := a.Grant(start, 0, name, math.MaxInt)
		require.LessOrEqual(t, wait, time.Minute)
		require.GreaterOrEqual(t, wait, time.Duration(0))
	}
	n, validity, wait := a.Grant(start, -1, name, 1)
	require.Zero(t, n)
	require.Zero(t, validity)
	require.Zero(t, wait)
}

// Guards against tokens of parts that are not held and of customers without a limit, and
// against full buckets at the start of a term.
func TestTermsAndCustomers(t *testing.T) {
	a := allocator.New(bounds)
	a.SetLimit(at(-1e5), name, 40, 40)
	require.Zero(t, granted(a, start, 10), "no part is held")
	a.Start(start, 1)
	require.Zero(t, granted(a, start, 10), "the bucket is empty")
	require.InDelta(t, 5, granted(a, at(0.5), 100), 1, "a quarter of the rate")
	n, validity, _ := a.Grant(at(10), 1, "unknown", 10)
	require.Zero(t, n)
	require.Zero(t, validity)
	a.Start(at(10), 1)
	require.Zero(t, granted(a, at(10), 10), "a new term")
	a.Stop(1)
	require.Zero(t, granted(a, at(20), 10))
	a.Start(at(20), 1)
	a.Retain(func(string) bool { return false })
	a.SetLimit(at(30), name, 40, 40)
	require.Zero(t, granted(a, at(30), 10), "a customer that was removed")
}

// Guards against a lowered limit that binds only once the buckets are used up, and against
// tokens of a raised one before their time.
func TestChangedLimit(t *testing.T) {
	a := newAllocator(bounds, 400, 400)
	a.SetLimit(start, name, 4, 4)
	require.LessOrEqual(t, granted(a, start, 1000), 4*1.1+20+4)
	a = newAllocator(bounds, 4, 4)
	a.SetLimit(start, name, 400, 400)
	require.LessOrEqual(t, granted(a, start, 1000), 4*1.1+20+4)
	require.InDelta(t, 100, granted(a, at(0.25), 1000), 8)
}

// Guards against nodes that all come back for the same token, and against a wait that is
// longer than needed once they stay away.
func TestWait(t *testing.T) {
	a := newAllocator(bounds, 40, 0)
	granted(a, start, 1000)
	var last time.Duration
	for i := range 50 {
		_, _, wait := a.Grant(start, 0, name, 1)
		require.LessOrEqual(t, wait, 2*time.Second)
		if i > 0 && wait < 2*time.Second {
			require.InDelta(t, 0.1, (wait - last).Seconds(), 0.001, "one token in 0.1 s")
		}
		last = wait
	}
	require.Equal(t, 2*time.Second, last)
	n, _, wait := a.Grant(at(0.15), 0, name, 1)
	require.Equal(t, 1, n, "tokens are not reserved")
	require.Zero(t, wait)
	granted(a, at(3), 1000)
	_, _, wait = a.Grant(at(3), 0, name, 1)
	require.LessOrEqual(t, wait, 200*time.Millisecond)
}

func BenchmarkGrant(b *testing.B) {
	a := newAllocator(bounds, 1e6, 1e6)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		a.Grant(now, 0, name, 1)
	}
}
