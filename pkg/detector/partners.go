package detector

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/papayapath/papayapath/pkg/instance"
)

// ranked is a target with its rendezvous score for this node.
type ranked struct {
	id    instance.ID
	score uint64
}

// refresh chooses the targets that this node probes itself: those with the
// largest rendezvous hashes with it. A node then needs connections to a few
// others only, while each target is still probed by about as many nodes from
// all over the mesh: with 32 partners the chance that no node probes a target
// is about 1e-14.
func (d *Detector) refresh() {
	if !d.changed {
		return
	}
	d.changed = false
	d.ranks = d.ranks[:0]
	for _, id := range d.ring.ids {
		d.ranks = append(d.ranks, ranked{id: id, score: mix(d.seed ^ hashOf(id))})
	}
	slices.SortFunc(d.ranks, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), a.id.Compare(b.id))
	})
	wanted := d.ranks[:min(d.width, len(d.ranks))]
	for _, id := range slices.Clone(d.partners.ids) {
		if !slices.ContainsFunc(wanted, func(r ranked) bool { return r.id == id }) {
			d.partners.remove(id)
		}
	}
	for _, r := range wanted {
		d.partners.add(r.id, d.random)
	}
}

// hashOf covers the address only, so that a restart changes no partners.
func hashOf(id instance.ID) uint64 {
	a := id.Address()
	ip := a.Addr().As16()
	var data [18]byte
	copy(data[:], ip[:])
	data[16], data[17] = byte(a.Port()>>8), byte(a.Port())
	return xxhash.Sum64(data[:])
}

// mix spreads a value over all bits (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}
