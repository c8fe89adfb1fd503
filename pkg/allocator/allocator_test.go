package allocator_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/allocator"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/quota"
)

const (
	contracted = 600
	burst      = 60
	step       = 10 * time.Millisecond
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func id(i int) instance.ID {
	return instance.New(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000), 1)
}

// mesh is a set of nodes with one customer and three allocators, in virtual
// time.
type mesh struct {
	now        time.Time
	random     *rand.Rand
	quotas     []*quota.Quota
	allocators []*allocator.Allocator
	weights    []float64 // part of the demand at each node
	silent     bool      // the allocators can't be reached
	peak       int       // most requests admitted in one second
}

func newMesh(n int, seed uint64) *mesh {
	m := &mesh{now: start, random: rand.New(rand.NewPCG(seed, 1))}
	for range n {
		m.quotas = append(m.quotas, quota.New(start, "quimper", contracted, burst))
	}
	for range allocator.Replicas {
		m.allocators = append(m.allocators, allocator.New())
	}
	return m
}

// even gives each node the same demand, skewed gives half to the first.
func (m *mesh) even() {
	m.weights = make([]float64, len(m.quotas))
	for i := range m.weights {
		m.weights[i] = 1 / float64(len(m.quotas))
	}
}

func (m *mesh) skewed(first int) {
	m.weights = make([]float64, len(m.quotas))
	for i := range m.weights {
		m.weights[i] = 0.5 / float64(len(m.quotas)-1)
	}
	m.weights[first] = 0.5
}

// run offers demand requests a second as a Poisson process and returns the
// requests that arrived and those that were admitted.
func (m *mesh) run(d time.Duration, demand float64) (arrived, admitted int) {
	m.peak = 0
	second := 0
	for i := range int(d / step) {
		m.now = m.now.Add(step)
		for n, q := range m.quotas {
			for range m.poisson(demand * m.weights[n] * step.Seconds()) {
				arrived++
				if q.Allow(m.now) {
					admitted++
					second++
				}
			}
			m.report(n, q)
		}
		if (i+1)%int(time.Second/step) == 0 {
			m.peak = max(m.peak, second)
			second = 0
		}
	}
	return arrived, admitted
}

func (m *mesh) report(n int, q *quota.Quota) {
	d, ok := q.Report(m.now)
	if !ok || m.silent {
		return
	}
	for i, a := range m.allocators {
		q.Share(m.now, id(1000+i), a.Report(m.now, id(n), d, contracted))
	}
}

// poisson counts exponential intervals within a mean.
func (m *mesh) poisson(mean float64) (n int) {
	for left := mean - m.random.ExpFloat64(); left > 0; left -= m.random.ExpFloat64() {
		n++
	}
	return n
}

// Guards against an error over all nodes above the one that docs/quota.md
// states.
func TestErrorOverAllNodes(t *testing.T) {
	for _, n := range []int{3, 30} {
		for _, spread := range []string{"even", "skewed"} {
			t.Run(fmt.Sprintf("%d nodes, %s", n, spread), func(t *testing.T) {
				m := newMesh(n, 7)
				m.even()
				if spread == "skewed" {
					m.skewed(0)
				}
				_, admitted := m.run(time.Second, 3*contracted)
				t.Logf("first second at 3 times the rate: %.3f of the rate", float64(admitted)/contracted)
				require.Less(t, admitted, 2*contracted+burst)

				_, admitted = m.run(20*time.Second, 3*contracted)
				share := float64(admitted) / (20 * contracted)
				t.Logf("20 s at 3 times the rate: %.3f of the rate, most in a second %d", share, m.peak)
				require.InDelta(t, 1, share, 0.02)
				require.Less(t, m.peak, contracted*11/10)

				arrived, admitted := m.run(20*time.Second, 0.8*contracted)
				part := float64(arrived-admitted) / float64(arrived)
				t.Logf("20 s at 0.8 of the rate: %.4f refused", part)
				require.Less(t, part, 0.02)
			})
		}
	}
}

// Guards against a long error after the demand moves from one node to another.
func TestErrorAfterShift(t *testing.T) {
	for _, n := range []int{3, 30} {
		m := newMesh(n, 3)
		m.skewed(0)
		m.run(10*time.Second, 0.8*contracted)
		m.skewed(1)
		arrived, admitted := m.run(2*time.Second, 0.8*contracted)
		part := float64(arrived-admitted) / float64(arrived)
		t.Logf("%d nodes, 2 s after a shift of half of the demand: %.3f refused", n, part)
		require.Less(t, part, 0.15)
		arrived, admitted = m.run(10*time.Second, 0.8*contracted)
		part = float64(arrived-admitted) / float64(arrived)
		t.Logf("%d nodes, after that: %.4f refused", n, part)
		require.Less(t, part, 0.02)
	}
}

// Guards against a rate that is exceeded, or lost, while no allocator answers.
func TestErrorWithoutAllocators(t *testing.T) {
	for _, n := range []int{3, 30} {
		m := newMesh(n, 5)
		m.even()
		m.run(5*time.Second, 3*contracted)
		m.silent = true
		m.run(5*time.Second, 3*contracted)
		_, admitted := m.run(20*time.Second, 3*contracted)
		share := float64(admitted) / (20 * contracted)
		t.Logf("%d nodes: %.3f of the rate", n, share)
		require.InDelta(t, 1, share, 0.03)
	}
}

// Guards against demand of nodes that are gone and holds back the others.
func TestSilentNodesExpire(t *testing.T) {
	a := allocator.New()
	demand := message.Demand{Customer: "quimper", Rate: 300}
	a.Report(start, id(1), demand, 300)
	require.InDelta(t, 150, a.Report(start, id(2), demand, 300).Rate, 0.1)
	later := start.Add(4 * time.Second)
	require.InDelta(t, 300, a.Report(later, id(2), demand, 300).Rate, 0.1)
	a.Tick(later.Add(4 * time.Second))
	require.Zero(t, a.Customers())
}

// Guards against shares that add up to more than the contracted rate.
func TestSharesAddUp(t *testing.T) {
	a := allocator.New()
	for _, scale := range []float64{0.1, 1, 10} {
		var sum float64
		for range 2 {
			sum = 0
			for i, d := range []float64{0, 5, 100, 300} {
				sum += a.Report(start, id(i), message.Demand{Customer: "c", Rate: d * scale}, 500).Rate
			}
		}
		require.InDelta(t, 500, sum, 0.1)
	}
}

// Guards against nodes that choose different allocators for a customer, or
// the same ones for all.
func TestNodes(t *testing.T) {
	var members []instance.ID
	for i := range 100 {
		members = append(members, id(i))
	}
	first, err := allocator.Nodes("quimper", members)
	require.NoError(t, err)
	require.Len(t, first, allocator.Replicas)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	again, err := allocator.Nodes("quimper", members)
	require.NoError(t, err)
	require.Equal(t, first, again)
	other, err := allocator.Nodes("brest", members)
	require.NoError(t, err)
	require.NotEqual(t, first, other)
}

func BenchmarkReport(b *testing.B) {
	for _, n := range []int{3, 30, 7200} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			a := allocator.New()
			now := start
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Second / time.Duration(n))
				a.Report(now, id(i%n), message.Demand{Customer: "c", Rate: 5}, contracted)
			}
		})
	}
}
