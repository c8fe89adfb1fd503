package allocator

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/papayapath/papayapath/pkg/instance"
)

// Replicas is the number of nodes that divide the rate of one customer.
const Replicas = 3

// candidate is a node with its rendezvous hash.
type candidate struct {
	id   instance.ID
	hash uint64
}

// Nodes returns the nodes that divide the rate of a customer: those with the
// largest rendezvous hashes among members. It returns an error of the
// instance package if an ID can't be encoded.
func Nodes(customer string, members []instance.ID) ([]instance.ID, error) {
	best := make([]candidate, 0, Replicas+1)
	for _, id := range members {
		hash, err := rendezvous(customer, id)
		if err != nil {
			return nil, err
		}
		best = append(best, candidate{id: id, hash: hash})
		slices.SortFunc(best, descending)
		best = best[:min(len(best), Replicas)]
	}
	nodes := make([]instance.ID, len(best))
	for i, c := range best {
		nodes[i] = c.id
	}
	return nodes, nil
}

func rendezvous(customer string, id instance.ID) (uint64, error) {
	data, err := id.MarshalBinary()
	if err != nil {
		return 0, err
	}
	var d xxhash.Digest
	d.ResetWithSeed(xxhash.Sum64String(customer))
	if _, err := d.Write(data); err != nil {
		return 0, err
	}
	return d.Sum64(), nil
}

func descending(a, b candidate) int {
	switch {
	case a.hash > b.hash:
		return -1
	case a.hash < b.hash:
		return 1
	}
	return a.id.Compare(b.id)
}
