package registry

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/papayapath/papayapath/pkg/readiness"
)

// Entry is what a node says of itself and of its backend server. Fields are
// exported for the codec.
type Entry struct {
	Node          string          `cbor:"1,keyasint"` // address for connections between nodes
	Incarnation   int64           `cbor:"2,keyasint"` // start of the node; larger is newer
	Revision      uint64          `cbor:"3,keyasint"` // grows with each change in one incarnation
	Domain        string          `cbor:"4,keyasint"` // failure domain
	Service       string          `cbor:"5,keyasint"`
	Instance      string          `cbor:"6,keyasint"` // id of the backend server
	Born          int64           `cbor:"7,keyasint"` // start of the backend server, Unix milliseconds by its clock
	State         readiness.State `cbor:"8,keyasint"`
	Slots         int             `cbor:"9,keyasint"`
	Stopping      bool            `cbor:"10,keyasint"` // the node is shutting down
	LogUnreadable bool            `cbor:"11,keyasint"` // the node cannot read the platform log
}

// Newer reports whether e was made after o.
func (e Entry) Newer(o Entry) bool {
	if e.Incarnation != o.Incarnation {
		return e.Incarnation > o.Incarnation
	}
	return e.Revision > o.Revision
}

// Accepts reports whether requests of a service may be offered to the node.
func (e Entry) Accepts(service string) bool {
	return e.Service == service && e.State == readiness.Ready && !e.Stopping
}

// fingerprint identifies this state of the entry.
func (e Entry) fingerprint() uint64 {
	h := xxhash.Sum64String(e.Node)
	return h ^ uint64(e.Incarnation)*0x9E3779B185EBCA87 ^ e.Revision*0xC2B2AE3D27D4EB4F
}

// Registry holds the newest entry of each node. It is not safe for concurrent
// use.
type Registry struct {
	entries map[string]Entry
	dropped map[string]drop
	digest  uint64
	changes uint64
}

// drop remembers an entry that was removed because its node is gone.
type drop struct {
	entry Entry
	at    time.Time
}

// forget is the time after which a removed entry may return. Entries of nodes
// that are gone circulate among the others for a few exchanges.
const forget = 60 * time.Second

// New returns an empty registry.
func New() *Registry {
	return &Registry{entries: make(map[string]Entry), dropped: make(map[string]drop)}
}

// Merge takes over an entry if it is newer than the known one, and reports
// whether it was.
func (r *Registry) Merge(now time.Time, e Entry) bool {
	if d, ok := r.dropped[e.Node]; ok {
		if !e.Newer(d.entry) && now.Sub(d.at) < forget {
			return false
		}
		delete(r.dropped, e.Node)
	}
	old, ok := r.entries[e.Node]
	if ok && !e.Newer(old) {
		return false
	}
	if ok {
		r.digest ^= old.fingerprint()
	}
	r.digest ^= e.fingerprint()
	r.entries[e.Node] = e
	r.changes++
	return true
}

// Drop removes a node that is gone.
func (r *Registry) Drop(now time.Time, node string) {
	e, ok := r.entries[node]
	if !ok {
		return
	}
	r.digest ^= e.fingerprint()
	delete(r.entries, node)
	r.dropped[node] = drop{entry: e, at: now}
	r.changes++
}

// Get returns the entry of a node.
func (r *Registry) Get(node string) (Entry, bool) {
	e, ok := r.entries[node]
	return e, ok
}

// Len returns the number of entries.
func (r *Registry) Len() int { return len(r.entries) }

// Digest identifies the content of the registry. Two registries with the same
// entries have the same digest.
func (r *Registry) Digest() uint64 { return r.digest }

// Changes grows with each change, for caches of what was derived.
func (r *Registry) Changes() uint64 { return r.changes }

// All returns all entries, ordered by node.
func (r *Registry) All() []Entry {
	all := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Entry) int { return strings.Compare(a.Node, b.Node) })
	return all
}
