package registry_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/readiness"
	"github.com/papayapath/papayapath/pkg/registry"
)

var start = time.Unix(1000, 0)

// Guards against an old entry received from another node that replaces a newer
// one.
func TestMergeKeepsTheNewest(t *testing.T) {
	r := registry.New()
	require.True(t, r.Merge(start, registry.Entry{Node: "a", Incarnation: 2, Revision: 1}))
	require.False(t, r.Merge(start, registry.Entry{Node: "a", Incarnation: 2, Revision: 1}))
	require.False(t, r.Merge(start, registry.Entry{Node: "a", Incarnation: 1, Revision: 9}))
	require.True(t, r.Merge(start, registry.Entry{Node: "a", Incarnation: 2, Revision: 2, State: readiness.Draining}))
	e, ok := r.Get("a")
	require.True(t, ok)
	require.Equal(t, readiness.Draining, e.State)
}

// Guards against nodes that never stop exchanging their entries because the
// digests of equal registries differ, or that never start because the digests
// of different registries are equal.
func TestDigestDistinguishesRegistries(t *testing.T) {
	a, b := registry.New(), registry.New()
	one := registry.Entry{Node: "a", Incarnation: 1, Revision: 1}
	two := registry.Entry{Node: "b", Incarnation: 1, Revision: 1}
	a.Merge(start, one)
	a.Merge(start, two)
	b.Merge(start, two)
	require.NotEqual(t, a.Digest(), b.Digest())
	b.Merge(start, one)
	require.Equal(t, a.Digest(), b.Digest())
	a.Drop(start, "a")
	b.Drop(start, "a")
	require.Equal(t, a.Digest(), b.Digest())
}

// Guards against a removed node that is added again from the entries of others.
func TestDroppedNodeStaysRemoved(t *testing.T) {
	r := registry.New()
	e := registry.Entry{Node: "a", Incarnation: 1, Revision: 1}
	r.Merge(start, e)
	r.Drop(start, "a")
	require.False(t, r.Merge(start.Add(time.Second), e))
	e.Incarnation = 2
	require.True(t, r.Merge(start.Add(time.Second), e))
}

// Guards against offers to a node that is shutting down or whose backend server
// is draining.
func TestAccepts(t *testing.T) {
	e := registry.Entry{Service: "s", State: readiness.Ready}
	require.True(t, e.Accepts("s"))
	require.False(t, e.Accepts("other"))
	stopping := e
	stopping.Stopping = true
	require.False(t, stopping.Accepts("s"))
	e.State = readiness.Draining
	require.False(t, e.Accepts("s"))
}

// Guards against the same change of two entries that cancels out in the digest,
// so that nodes with different registries never compare them.
func TestDigestOfEqualChangesDiffers(t *testing.T) {
	a, b := registry.New(), registry.New()
	for _, node := range []string{"a", "b"} {
		a.Merge(start, registry.Entry{Node: node, Incarnation: 1, Revision: 3})
		b.Merge(start, registry.Entry{Node: node, Incarnation: 1, Revision: 5})
	}
	require.NotEqual(t, a.Digest(), b.Digest())
}

// Guards against requests to a leaving server whose restarted node offers it
// again, and against a mark that outlasts the server.
func TestLeavingServerOfRestartedNode(t *testing.T) {
	r := registry.New()
	ready := registry.Entry{Node: "a", Incarnation: 1, Revision: 1, Instance: "i-1", Born: 10, State: readiness.Ready}
	r.Merge(start, ready)
	require.False(t, r.IsLeaving(ready))
	changes := r.Changes()
	r.MarkLeaving("a", readiness.Incarnation{ID: "i-1", Born: 10})
	require.NotEqual(t, changes, r.Changes(), "derived data is stale")
	require.True(t, r.IsLeaving(ready))
	ready.Incarnation = 2
	r.Merge(start, ready)
	require.True(t, r.IsLeaving(ready))
	r.Drop(start, "a")
	require.True(t, r.IsLeaving(ready))
	next := ready
	next.Born = 11
	require.False(t, r.IsLeaving(next))
	draining := next
	draining.Incarnation, draining.State = 3, readiness.Draining
	r.Merge(start, draining)
	require.True(t, r.IsLeaving(next))
	require.True(t, r.IsLeaving(ready), "the older server has ended")
	r.MarkLeaving("a", readiness.Incarnation{ID: "i-1", Born: 10})
	require.True(t, r.IsLeaving(next), "late news of the older server")
	require.False(t, r.IsLeaving(registry.Entry{Node: "a", Instance: "i-2", Born: 5}), "another server at the address, by another clock")
	for i := range 20 {
		r.MarkLeaving("a", readiness.Incarnation{ID: "i-2", Born: int64(i)})
	}
	require.False(t, r.IsLeaving(next), "the memory is bounded")
	require.True(t, r.IsLeaving(registry.Entry{Node: "a", Instance: "i-2", Born: 5}))
}

// Guards against entries without end of another writer.
func TestEntriesAreBounded(t *testing.T) {
	const limit = 1 << 15
	r := registry.New()
	for i := range limit + 10 {
		r.Merge(start, registry.Entry{Node: strconv.Itoa(i), Incarnation: 1})
	}
	require.Equal(t, limit, r.Len())
	require.True(t, r.Merge(start, registry.Entry{Node: "0", Incarnation: 2}), "known nodes stay up to date")
}
