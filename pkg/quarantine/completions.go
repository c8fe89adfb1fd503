package quarantine

import "github.com/cespare/xxhash/v2"

// completionsSize is the number of entries in the set of recently completed
// requests. At 8 bytes each they take 64 KiB.
const completionsSize = 1 << 13

// completions is a fixed-size, lossy set of recently completed requests.
// Requests with the same index replace each other, so that entries need no
// expiry.
type completions struct {
	fingerprints [completionsSize]uint64
}

func (c *completions) add(r Request) {
	fp := fingerprint(r)
	c.fingerprints[fp%completionsSize] = fp
}

func (c *completions) has(r Request) bool {
	fp := fingerprint(r)
	return c.fingerprints[fp%completionsSize] == fp
}

func (c *completions) remove(r Request) {
	fp := fingerprint(r)
	if c.fingerprints[fp%completionsSize] == fp {
		c.fingerprints[fp%completionsSize] = 0
	}
}

// fingerprint returns a hash of the customer and the content of a request.
func fingerprint(r Request) uint64 {
	return xxhash.Sum64String(r.Customer) ^ r.Content*0x9e3779b97f4a7c15
}
