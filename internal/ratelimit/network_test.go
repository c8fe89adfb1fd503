package ratelimit_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/ratelimit"
	"github.com/papayapath/papayapath/pkg/customer"
	"github.com/papayapath/papayapath/pkg/quota"
	"github.com/papayapath/papayapath/pkg/term"
)

// scriptedNetwork is a network of one node whose answers a test sets. The other nodes are
// linked and do not answer.
type scriptedNetwork struct {
	rank        int
	incarnation func(node string) int64
	requested   func(id uint64)
}

func (s *scriptedNetwork) RequestTokens(_ string, id uint64, _ int, _ string, _ int) bool {
	if s.requested != nil {
		s.requested(id)
	}
	return true
}

func (s *scriptedNetwork) Incarnation(node string) int64 {
	if s.incarnation == nil {
		return 0
	}
	return s.incarnation(node)
}

func (s *scriptedNetwork) IsLinked(string) bool                 { return true }
func (s *scriptedNetwork) IsNear(string) bool                   { return false }
func (s *scriptedNetwork) AnnounceTerm(int, term.Record, int64) {}
func (s *scriptedNetwork) Rank(int) int                         { return s.rank }
func (s *scriptedNetwork) TermChanged(int, bool)                {}
func (s *scriptedNetwork) AllocatorChanged(int, string)         {}

// newLimiter returns the limiter of the node a, which has one limited customer.
func newLimiter(s *scriptedNetwork, l ratelimit.Log) *ratelimit.Limiter {
	limiter := ratelimit.New("a", 1, bounds, s, l, s, ratelimit.WithFirstGeneration(1))
	limiter.SetCustomers(1, []*customer.Customer{customer.New("one", customer.WithLimit(40, 20))})
	return limiter
}

// Guards against a claim beside a holder that is alive, because the incarnation of the
// holder before it was looked up while its record arrived.
func TestHolderChangesDuringLookup(t *testing.T) {
	l := &fakeLog{}
	for part := range term.Parts {
		l.records[part], l.ends[part] = term.Record{Holder: "x", Incarnation: 5, Number: 1, Generation: 1}, 1
	}
	s := &scriptedNetwork{}
	a := newLimiter(s, l)
	s.incarnation = func(node string) int64 {
		if node != "x" {
			return 0
		}
		for part := range term.Parts {
			r := term.Record{Holder: "y", Incarnation: 3, Number: 1, Generation: 1}
			l.mu.Lock()
			l.records[part], l.ends[part] = r, 2
			l.mu.Unlock()
			a.HandleTerm(part, r, 2)
		}
		return 7
	}
	go a.Run(t.Context())
	time.Sleep(500 * time.Millisecond)
	require.Zero(t, a.Stats().Held)
}

// slowLog holds back the answers to appends until they are released.
type slowLog struct {
	fakeLog
	begun    atomic.Int64
	released chan struct{}
}

func (l *slowLog) Append(part int, r term.Record, at int64) (int64, term.Result) {
	l.begun.Add(1)
	<-l.released
	return l.fakeLog.Append(part, r, at)
}

// Guards against a part that nobody allocates for the rest of a term, because its holder
// was stopped during a call to the log.
func TestStopDuringCall(t *testing.T) {
	l := &slowLog{released: make(chan struct{})}
	a := newLimiter(&scriptedNetwork{}, l)
	go a.Run(t.Context())
	require.Eventually(t, func() bool { return l.begun.Load() == term.Parts }, waitTimeout, pollInterval)
	a.Stop()
	close(l.released)
	for part := range term.Parts {
		require.Eventually(t, func() bool {
			r, end, _ := l.Newest(part)
			return end == 0 || r.Released
		}, waitTimeout, pollInterval, "part %d", part)
	}
	time.Sleep(10 * pollInterval)
	for part := range term.Parts {
		r, _, _ := l.Newest(part)
		require.True(t, r.Released, "part %d", part)
	}
	require.Zero(t, a.Stats().Held)
}

// heldBy returns a log in which another node holds all parts.
func heldBy(node string) *fakeLog {
	l := &fakeLog{}
	for part := range term.Parts {
		l.records[part], l.ends[part] = term.Record{Holder: node, Incarnation: 1, Number: 1, Generation: 1}, 1
	}
	return l
}

// awaitRequest waits until a node knows whom to ask for tokens and has done so.
func awaitRequest(t *testing.T, l *ratelimit.Limiter) {
	go l.Run(t.Context())
	require.Eventually(t, func() bool {
		go l.Admit("one", time.Millisecond, nil)
		return l.Stats().Messages > 0
	}, waitTimeout, pollInterval)
}

// Guards against requests that wait longer than they are to, and a reader of a link that
// reads no more, because the link to an allocator takes no messages for a while.
func TestSendingBlocks(t *testing.T) {
	blocked := make(chan struct{})
	t.Cleanup(func() { close(blocked) })
	var last atomic.Uint64
	s := &scriptedNetwork{requested: func(id uint64) {
		last.Store(id)
		<-blocked
	}}
	a := newLimiter(s, heldBy("x"))
	awaitRequest(t, a)
	require.Eventually(t, func() bool { return last.Load() > 0 }, waitTimeout, pollInterval)
	ended := make(chan struct{}, 2)
	go func() {
		a.Admit("one", maxWait, nil)
		ended <- struct{}{}
	}()
	go func() {
		// The allocator has no tokens, so another one is asked.
		a.HandleGrant(last.Load(), 0, time.Second, time.Second)
		ended <- struct{}{}
	}()
	for range 2 {
		select {
		case <-ended:
		case <-time.After(10 * maxWait):
			require.Fail(t, "waits for the link")
		}
	}
}

// Guards against requests for tokens of a customer whose limit was removed, for as long
// as the process runs, because some of its requests were waiting then.
func TestLimitIsRemovedWhileRequestsWait(t *testing.T) {
	var sent atomic.Int64
	s := &scriptedNetwork{requested: func(uint64) { sent.Add(1) }}
	a := newLimiter(s, heldBy("x"))
	awaitRequest(t, a)
	decision := make(chan quota.Decision)
	go func() {
		_, d := a.Admit("one", waitTimeout, nil)
		decision <- d
	}()
	time.Sleep(10 * pollInterval)
	a.SetCustomers(2, []*customer.Customer{customer.New("one")})
	require.Equal(t, quota.Admitted, <-decision)
	before := sent.Load()
	time.Sleep(2500 * time.Millisecond)
	require.Equal(t, before, sent.Load())
}

// Guards against limits of an older configuration that stay in force, because two
// configurations came at the same time and the newer one was applied first.
func TestOlderCustomersAreIgnored(t *testing.T) {
	a := newLimiter(&scriptedNetwork{}, &fakeLog{})
	go a.Run(t.Context())
	require.Eventually(t, func() bool { return a.Stats().Held == term.Parts }, waitTimeout, pollInterval)
	a.SetCustomers(3, []*customer.Customer{customer.New("one", customer.WithLimit(80, 20)), customer.New("two", customer.WithLimit(40, 20))})
	a.SetCustomers(2, []*customer.Customer{customer.New("one", customer.WithLimit(40, 20))})
	_, validity, _ := a.HandleRequest(0, "two", 1)
	require.Positive(t, validity)
}
