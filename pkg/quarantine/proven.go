package quarantine

import "github.com/cespare/xxhash/v2"

// provenSize is the number of places for requests that completed of late. At
// 8 bytes each they take 64 KiB.
const provenSize = 1 << 13

// proven remembers requests that ran to their end. Requests that share a
// place push each other out, so the table stays small and needs no clean-up.
type proven struct {
	places [provenSize]uint64
}

func (p *proven) add(r Request) {
	mark := markOf(r)
	p.places[mark%provenSize] = mark
}

func (p *proven) has(r Request) bool {
	mark := markOf(r)
	return p.places[mark%provenSize] == mark
}

func (p *proven) remove(r Request) {
	mark := markOf(r)
	if p.places[mark%provenSize] == mark {
		p.places[mark%provenSize] = 0
	}
}

// markOf returns a fingerprint of customer and content.
func markOf(r Request) uint64 {
	return xxhash.Sum64String(r.Customer) ^ r.Content*0x9e3779b97f4a7c15
}
