package detector

import (
	"math/rand/v2"

	"github.com/papayapath/papayapath/pkg/instance"
)

// ring holds the targets in a random order. Each round probes every target
// once, which bounds the time until a dead one is probed.
type ring struct {
	ids    []instance.ID
	places map[instance.ID]int
	cursor int
}

func (r *ring) has(id instance.ID) bool {
	_, ok := r.places[id]
	return ok
}

func (r *ring) add(id instance.ID, random *rand.Rand) {
	if r.has(id) {
		return
	}
	r.places[id] = len(r.ids)
	r.ids = append(r.ids, id)
	r.swap(len(r.ids)-1, random.IntN(len(r.ids)))
}

func (r *ring) remove(id instance.ID) {
	place, ok := r.places[id]
	if !ok {
		return
	}
	if place < r.cursor {
		r.cursor--
		r.swap(place, r.cursor)
		place = r.cursor
	}
	last := len(r.ids) - 1
	r.swap(place, last)
	r.ids = r.ids[:last]
	delete(r.places, id)
}

// next returns the next target, and starts a new round in a new order after
// the last one.
func (r *ring) next(random *rand.Rand) (instance.ID, bool) {
	if len(r.ids) == 0 {
		return instance.ID{}, false
	}
	if r.cursor >= len(r.ids) {
		r.cursor = 0
		random.Shuffle(len(r.ids), r.swap)
	}
	id := r.ids[r.cursor]
	r.cursor++
	return id, true
}

// sample returns at most n distinct targets other than except.
func (r *ring) sample(n int, except instance.ID, random *rand.Rand) []instance.ID {
	picked := make([]instance.ID, 0, n)
	for _, place := range random.Perm(len(r.ids)) {
		if len(picked) == n {
			break
		}
		if r.ids[place] != except {
			picked = append(picked, r.ids[place])
		}
	}
	return picked
}

func (r *ring) swap(i, j int) {
	r.ids[i], r.ids[j] = r.ids[j], r.ids[i]
	r.places[r.ids[i]], r.places[r.ids[j]] = i, j
}
