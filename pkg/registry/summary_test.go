package registry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/registry"
)

func entry(i int) registry.Entry {
	return registry.Entry{
		Node: fmt.Sprintf("10.1.%d.%d:7620", i/200, i%200), Incarnation: 1_796_000_000_000 + int64(i), Revision: 3,
		Domain: "bzh-saint-brieuc", Service: "catalogue", Instance: fmt.Sprintf("i-%08x", i), Born: 1_796_000_000_000, Slots: 78,
	}
}

// exchange makes two registries equal in the way that nodes do after a digest
// differed, and returns the number of bytes sent by both.
func exchange(t *testing.T, now time.Time, a, b *registry.Registry) int {
	if a.Digest() == b.Digest() {
		return 0
	}
	summary := b.Summary()
	buckets := a.Differing(summary)
	sent := a.InBuckets(buckets)
	for _, e := range sent {
		b.Merge(now, e)
	}
	returned := b.NewerThan(sent, buckets)
	for _, e := range returned {
		a.Merge(now, e)
	}
	return size(t, summary) + size(t, buckets) + size(t, sent) + size(t, returned)
}

func size[T any](t *testing.T, v T) int {
	data, err := message.Encode(v)
	require.NoError(t, err)
	return len(data)
}

// Guards against an exchange that leaves registries different: entries missing on
// either side, or older on either side.
func TestExchangeMakesRegistriesEqual(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		a, b := registry.New(), registry.New()
		for i := range 300 {
			e := entry(i)
			if random.IntN(3) > 0 {
				a.Merge(start, e)
			}
			e.Revision += random.Uint64N(3)
			if random.IntN(3) > 0 {
				b.Merge(start, e)
			}
		}
		exchange(t, start, a, b)
		require.Equal(t, a.Digest(), b.Digest())
		require.Equal(t, a.All(), b.All())
	}
}

// Guards against a removal that leaves its bucket different from that of a
// registry which never had the entry.
func TestDropUpdatesSummary(t *testing.T) {
	a, b := registry.New(), registry.New()
	a.Merge(start, entry(1))
	a.Merge(start, entry(2))
	a.Drop(start, entry(2).Node)
	b.Merge(start, entry(1))
	require.Empty(t, a.Differing(b.Summary()))
	require.Equal(t, a.Digest(), b.Digest())
}

// Guards against a summary of another length, which a node of another version
// could send.
func TestSummaryOfOtherLengthDiffers(t *testing.T) {
	a := registry.New()
	a.Merge(start, entry(1))
	require.Len(t, a.Differing(nil), len(a.Summary()))
	require.Empty(t, a.InBuckets([]int{-1, 1 << 20}))
}

// Pattern: one entry in a large mesh has changed, and a node that missed the
// announcement compares its registry with another. Sending whole tables made the
// bytes of an exchange grow with the mesh; at the target of 7,200 nodes a
// node may spend 19 KB a second on control, with one exchange a second.
func TestExchangeOfOneChangeInLargeMesh(t *testing.T) {
	const limit = 19_000 // bytes
	for _, nodes := range []int{100, 300, 1_000, 7_200} {
		a, b := registry.New(), registry.New()
		for i := range nodes {
			a.Merge(start, entry(i))
			b.Merge(start, entry(i))
		}
		changed := entry(nodes / 2)
		changed.Revision++
		a.Merge(start, changed)
		sent := exchange(t, start, a, b)
		t.Logf("%d nodes: %d bytes", nodes, sent)
		require.Equal(t, a.Digest(), b.Digest())
		require.Less(t, sent, limit)
	}
}
