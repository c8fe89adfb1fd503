package ratelimit_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/boottime"
	"github.com/papayapath/papayapath/internal/ratelimit"
	"github.com/papayapath/papayapath/pkg/allocator"
	"github.com/papayapath/papayapath/pkg/customer"
	"github.com/papayapath/papayapath/pkg/quota"
	"github.com/papayapath/papayapath/pkg/term"
)

const (
	waitTimeout  = 5 * time.Second
	pollInterval = 5 * time.Millisecond
	// maxWait is the wait of a request for a token.
	maxWait = 150 * time.Millisecond
)

var bounds = allocator.Bounds{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}

// fakeLog keeps the newest record of each part.
type fakeLog struct {
	mu      sync.Mutex
	records [term.Parts]term.Record
	ends    [term.Parts]int64
	down    bool
}

var errDown = errors.New("the log is down")

func (l *fakeLog) Newest(part int) (term.Record, int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return term.Record{}, 0, errDown
	}
	return l.records[part], l.ends[part], nil
}

func (l *fakeLog) Append(part int, r term.Record, at int64) (int64, term.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.down:
		return 0, term.Rejected
	case at != l.ends[part]:
		return 0, term.Conflict
	}
	l.records[part] = r
	l.ends[part]++
	return l.ends[part], term.Done
}

func (l *fakeLog) Generation() uint64 { return 1 }

// mesh connects limiters by direct calls.
type mesh struct {
	mu    sync.Mutex
	nodes map[string]*fakeNode
}

// fakeNode is a node of a mesh. It implements the interfaces that its limiter needs.
type fakeNode struct {
	mesh    *mesh
	name    string
	limiter *ratelimit.Limiter
	cut     bool
	cancel  context.CancelFunc
}

func newMesh() *mesh { return &mesh{nodes: make(map[string]*fakeNode)} }

// start starts a node whose customer one has a limit.
func (m *mesh) start(t *testing.T, name string, l *fakeLog, incarnation int64) *fakeNode {
	n := &fakeNode{mesh: m, name: name}
	n.limiter = ratelimit.New(name, incarnation, bounds, n, l, n, ratelimit.WithFirstGeneration(1), ratelimit.WithClock(boottime.Now))
	n.limiter.SetCustomers([]*customer.Customer{customer.New("one", customer.WithLimit(40, 20)), customer.New("two")})
	m.mu.Lock()
	m.nodes[name] = n
	m.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	n.cancel = cancel
	t.Cleanup(cancel)
	go n.limiter.Run(ctx)
	return n
}

// peer returns another node if both have a link.
func (n *fakeNode) peer(name string) *fakeNode {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	if p := n.mesh.nodes[name]; p != nil && !p.cut && !n.cut {
		return p
	}
	return nil
}

func (n *fakeNode) setCut(cut bool) {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	n.cut = cut
}

func (n *fakeNode) RequestTokens(node string, id uint64, part int, customer string, wanted int) bool {
	p := n.peer(node)
	if p == nil {
		return false
	}
	go func() {
		granted, validity, wait := p.limiter.HandleRequest(part, customer, wanted)
		n.limiter.HandleGrant(id, granted, validity, wait)
	}()
	return true
}

func (n *fakeNode) IsLinked(node string) bool { return n.peer(node) != nil }
func (n *fakeNode) IsNear(node string) bool   { return node == n.name }

func (n *fakeNode) AnnounceTerm(part int, r term.Record, end int64) {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	for _, p := range n.mesh.nodes {
		if p != n && !p.cut && !n.cut {
			go p.limiter.HandleTerm(part, r, end)
		}
	}
}

func (n *fakeNode) Rank(part int) int {
	n.mesh.mu.Lock()
	defer n.mesh.mu.Unlock()
	rank := 0
	for name := range n.mesh.nodes {
		if (name < n.name) != (part%2 == 0) && name != n.name {
			rank++
		}
	}
	return rank
}

func (n *fakeNode) Incarnation(string) int64     { return 1 }
func (n *fakeNode) TermChanged(int, bool)        {}
func (n *fakeNode) AllocatorChanged(int, string) {}

func (n *fakeNode) held() int { return n.limiter.Stats().Held }

// admit sends requests of the customer one until one is not admitted, and returns how many
// were, and the decision on the last one.
func (n *fakeNode) admit(most int) (admitted int, last quota.Decision) {
	for range most {
		if _, last = n.limiter.Admit("one", maxWait, nil); last != quota.Admitted {
			return admitted, last
		}
		admitted++
	}
	return admitted, last
}

// awaitHolders waits until all parts are held.
func awaitHolders(t *testing.T, nodes ...*fakeNode) {
	require.Eventually(t, func() bool {
		sum := 0
		for _, n := range nodes {
			sum += n.held()
		}
		return sum == term.Parts
	}, waitTimeout, pollInterval)
}

// Guards against an entry node that uses only the tokens of the parts that it holds
// itself, and against tokens without end.
func TestTokensOfOtherNodes(t *testing.T) {
	l, m := &fakeLog{}, newMesh()
	a, b := m.start(t, "a", l, 1), m.start(t, "b", l, 1)
	awaitHolders(t, a, b)
	require.Positive(t, a.held())
	require.Positive(t, b.held())
	time.Sleep(time.Second)
	for _, n := range []*fakeNode{a, b} {
		// A quarter of a second of the other parts' rate is in their buckets at least.
		admitted, last := n.admit(1000)
		require.Greater(t, admitted, 10)
		require.Equal(t, quota.Denied, last)
		require.Less(t, n.limiter.RetryAfter("one"), time.Second)
		time.Sleep(time.Second)
	}
	require.Positive(t, a.limiter.Stats().Messages)
}

// Guards against a node without a way to any allocator that admits requests, or tells
// clients that the limit has been reached, and against one that stays so.
func TestCutFromAllAllocators(t *testing.T) {
	l, m := &fakeLog{}, newMesh()
	a := m.start(t, "a", l, 1)
	awaitHolders(t, a)
	b := m.start(t, "b", l, 2)
	require.Eventually(t, func() bool { _, d := b.admit(1); return d == quota.Admitted }, waitTimeout, pollInterval)
	b.setCut(true)
	require.Eventually(t, func() bool { _, d := b.admit(1); return d == quota.Unavailable }, waitTimeout, pollInterval)
	b.setCut(false)
	require.Eventually(t, func() bool { _, d := b.admit(1); return d == quota.Admitted }, waitTimeout, pollInterval)
}

// Guards against a token that is lost with a request that was refused before it ran.
func TestRefund(t *testing.T) {
	l, m := &fakeLog{}, newMesh()
	a := m.start(t, "a", l, 1)
	awaitHolders(t, a)
	time.Sleep(100 * time.Millisecond)
	var tokens []ratelimit.Token
	for {
		token, d := a.limiter.Admit("one", maxWait, nil)
		if d != quota.Admitted {
			break
		}
		tokens = append(tokens, token)
	}
	require.NotEmpty(t, tokens)
	a.limiter.Refund(tokens[len(tokens)-1])
	admitted, _ := a.admit(1)
	require.Equal(t, 1, admitted)
}

// Guards against a node that goes on allocating after others have been told that its
// process is gone, or that is stopping, and against parts that nobody takes over.
func TestPartsAreGivenUp(t *testing.T) {
	for name, giveUp := range map[string]func(*fakeNode){
		"stop":        func(n *fakeNode) { n.limiter.Stop() },
		"incarnation": func(n *fakeNode) { n.limiter.SetIncarnation(7) },
	} {
		t.Run(name, func(t *testing.T) {
			l, m := &fakeLog{}, newMesh()
			a := m.start(t, "a", l, 1)
			awaitHolders(t, a)
			giveUp(a)
			require.Zero(t, a.held())
			granted, validity, _ := a.limiter.HandleRequest(0, "one", 1)
			require.Zero(t, granted)
			require.Zero(t, validity)
			if name == "stop" {
				awaitHolders(t, m.start(t, "b", l, 2))
			}
		})
	}
}

// Guards against requests that wait for a client that has left, for customers whose limit
// was removed, and against a decision that never comes when the log is down from the
// start.
func TestWaitsEnd(t *testing.T) {
	l, m := &fakeLog{down: true}, newMesh()
	a := m.start(t, "a", l, 1)
	start := time.Now()
	_, d := a.limiter.Admit("one", maxWait, nil)
	require.Equal(t, quota.Unavailable, d)
	require.Less(t, time.Since(start), 2*maxWait)
	canceled := make(chan struct{})
	time.AfterFunc(10*time.Millisecond, func() { close(canceled) })
	_, d = a.limiter.Admit("one", time.Hour, canceled)
	require.Equal(t, quota.Unavailable, d)
	for i := range 3 {
		require.Zero(t, a.limiter.RetryAfter(fmt.Sprint(i)))
	}
}
