package ownership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/papayapath/papayapath/pkg/instance"
)

// MaxOwners is the largest number of owners of a service. It bounds the time
// of a lookup, which visits every owner.
const MaxOwners = 64

// Owners is an immutable list of owners with the seeds of their rendezvous
// hashes.
type Owners struct {
	ids   []instance.ID
	seeds []uint64
}

// newOwners returns the owners with the given IDs, or false if a table can't
// hold them: none, too many, or two incarnations at one address.
func newOwners(ids []instance.ID) (Owners, bool) {
	if len(ids) == 0 || len(ids) > MaxOwners {
		return Owners{}, false
	}
	sorted := slices.Clone(ids)
	slices.SortFunc(sorted, instance.ID.Compare)
	seeds := make([]uint64, len(sorted))
	for i, id := range sorted {
		if i > 0 && id.Address() == sorted[i-1].Address() {
			return Owners{}, false
		}
		seeds[i] = xxhash.Sum64String(id.Address().String())
	}
	return Owners{ids: sorted, seeds: seeds}, true
}

// Len returns the number of owners.
func (o Owners) Len() int { return len(o.ids) }

// At returns the owner with index i, in the order of IDs.
func (o Owners) At(i int) instance.ID { return o.ids[i] }

// IDs returns a copy of the owners in the order of IDs.
func (o Owners) IDs() []instance.ID { return slices.Clone(o.ids) }

// Contains reports whether exactly this incarnation is an owner.
func (o Owners) Contains(id instance.ID) bool { return slices.Contains(o.ids, id) }

// Replaced returns the owner whose newer incarnation id is.
func (o Owners) Replaced(id instance.ID) (instance.ID, bool) {
	for _, owner := range o.ids {
		if id.Replaces(owner) {
			return owner, true
		}
	}
	return instance.ID{}, false
}

// Owner returns the owner of the key with the given hash. The hash of an
// owner covers its address only, so that a restart moves no keys to other
// addresses.
func (o Owners) Owner(hash uint64) (instance.ID, bool) {
	if len(o.ids) == 0 {
		return instance.ID{}, false
	}
	best, top := 0, uint64(0)
	for i, seed := range o.seeds {
		if score := mix(hash ^ seed); score > top {
			best, top = i, score
		}
	}
	return o.ids[best], true
}

// Hash returns the hash of a key for Owner.
func Hash(key string) uint64 { return xxhash.Sum64String(key) }

// mix is the 64-bit finalizer of MurmurHash3 (Appleby).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
