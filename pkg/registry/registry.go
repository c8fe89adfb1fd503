package registry

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/papayapath/papayapath/pkg/readiness"
)

// Entry is the state that a node reports of itself and of its backend server.
// Its fields are exported for the codec.
type Entry struct {
	Node          string          `cbor:"1,keyasint"` // address that the node listens on for other nodes
	Incarnation   int64           `cbor:"2,keyasint"` // start of the node; a larger one is newer
	Revision      uint64          `cbor:"3,keyasint"` // grows with each change within an incarnation
	Domain        string          `cbor:"4,keyasint"` // failure domain
	Service       string          `cbor:"5,keyasint"`
	Instance      string          `cbor:"6,keyasint"` // ID of the backend server
	Born          int64           `cbor:"7,keyasint"` // start of the backend server, Unix milliseconds by its clock
	State         readiness.State `cbor:"8,keyasint"`
	Slots         int             `cbor:"9,keyasint"`
	Stopping      bool            `cbor:"10,keyasint"` // the node is shutting down, and takes no more offers
	LogUnreadable bool            `cbor:"11,keyasint"` // the node cannot read the platform log
	Ending        bool            `cbor:"12,keyasint"` // the node has been told to stop; until Stopping, it takes offers
}

// Newer reports whether e is newer than o, an entry of the same node.
func (e Entry) Newer(o Entry) bool {
	if e.Incarnation != o.Incarnation {
		return e.Incarnation > o.Incarnation
	}
	return e.Revision > o.Revision
}

// Accepts reports whether the node accepts requests for service.
func (e Entry) Accepts(service string) bool {
	return e.Service == service && e.State == readiness.Ready && !e.Stopping
}

// server returns the incarnation of the backend server.
func (e Entry) server() readiness.Incarnation {
	return readiness.Incarnation{ID: e.Instance, Born: e.Born}
}

// fingerprint returns a hash of the node, incarnation and revision. The three are
// hashed together: if the revision entered by an exclusive or, the same change of
// two entries would cancel out in the digest of a registry.
func (e Entry) fingerprint() uint64 {
	data := make([]byte, 0, 64)
	data = append(data, e.Node...)
	data = binary.BigEndian.AppendUint64(data, uint64(e.Incarnation))
	data = binary.BigEndian.AppendUint64(data, e.Revision)
	return xxhash.Sum64(data)
}

// Registry holds the newest entry of each node. It is not safe for concurrent
// use.
type Registry struct {
	entries map[string]Entry
	removed map[string]removal
	// leaving holds the latest servers of each node that are known to leave.
	leaving *simplelru.LRU[string, []readiness.Incarnation]
	buckets [summaryBuckets]uint64 // digest of the entries of each bucket
	changes uint64
}

// removal records the removal of the entry of an unreachable node.
type removal struct {
	entry Entry
	at    time.Time
}

// maxEntries bounds the number of entries. It is several times the largest
// deployment.
const maxEntries = 1 << 15

// removalTTL is the time for which a removed entry is not added again. Other
// nodes still exchange the entry for a few rounds.
const removalTTL = 60 * time.Second

// panicMarks is the panic message for an invalid bound of the marks.
const panicMarks = "registry: invalid number of marks"

// New returns an empty registry.
func New() *Registry {
	leaving, err := simplelru.NewLRU[string, []readiness.Incarnation](maxEntries, nil)
	if err != nil {
		panic(panicMarks)
	}
	return &Registry{
		entries: make(map[string]Entry), removed: make(map[string]removal), leaving: leaving,
	}
}

// Merge stores e if it is newer than the known entry of its node, and reports
// whether it did.
func (r *Registry) Merge(now time.Time, e Entry) bool {
	if d, ok := r.removed[e.Node]; ok {
		if !e.Newer(d.entry) && now.Sub(d.at) < removalTTL {
			return false
		}
		delete(r.removed, e.Node)
	}
	old, ok := r.entries[e.Node]
	if ok && !e.Newer(old) || !ok && len(r.entries) >= maxEntries {
		return false
	}
	b := &r.buckets[bucket(e.Node)]
	if ok {
		*b ^= old.fingerprint()
	}
	*b ^= e.fingerprint()
	r.entries[e.Node] = e
	r.changes++
	if e.State == readiness.Draining {
		r.MarkLeaving(e.Node, e.server())
	}
	return true
}

// MarkLeaving records that a backend server of a node is going to shut down. The
// mark outlasts the entry: a restarted node may offer the server again because it
// does not know. Of more than maxEntries nodes, those without an entry are forgotten
// first, as nobody has asked for their marks for the longest time.
func (r *Registry) MarkLeaving(node string, server readiness.Incarnation) {
	servers, _ := r.leaving.Get(node)
	if slices.Contains(servers, server) {
		return
	}
	if len(servers) == maxLeavingPerNode {
		servers = slices.Delete(servers, 0, 1)
	}
	r.leaving.Add(node, append(servers, server))
	r.changes++
}

// maxLeavingPerNode is the number of leaving servers that are remembered for a
// node.
const maxLeavingPerNode = 4

// IsLeaving reports whether the backend server of an entry, or a later start of
// it, is known to leave.
func (r *Registry) IsLeaving(e Entry) bool {
	servers, _ := r.leaving.Get(e.Node)
	return slices.ContainsFunc(servers, func(s readiness.Incarnation) bool {
		return s.ID == e.Instance && s.Born >= e.Born
	})
}

// Drop removes the entry of an unreachable node.
func (r *Registry) Drop(now time.Time, node string) {
	e, ok := r.entries[node]
	if !ok {
		return
	}
	r.buckets[bucket(node)] ^= e.fingerprint()
	delete(r.entries, node)
	maps.DeleteFunc(r.removed, func(_ string, d removal) bool { return now.Sub(d.at) >= removalTTL })
	r.removed[node] = removal{entry: e, at: now}
	r.changes++
}

// Get returns the entry of a node.
func (r *Registry) Get(node string) (Entry, bool) {
	e, ok := r.entries[node]
	return e, ok
}

// Len returns the number of entries.
func (r *Registry) Len() int { return len(r.entries) }

// Digest returns a hash of all entries. Registries with the same entries have
// the same digest.
func (r *Registry) Digest() uint64 {
	var digest uint64
	for _, b := range r.buckets {
		digest ^= b
	}
	return digest
}

// Changes returns a counter that grows with each change, for invalidating
// caches of derived data.
func (r *Registry) Changes() uint64 { return r.changes }

// All returns all entries, sorted by node.
func (r *Registry) All() []Entry {
	all := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Entry) int { return strings.Compare(a.Node, b.Node) })
	return all
}
