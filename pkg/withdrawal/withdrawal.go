package withdrawal

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Record remembers withdrawn requests until the end of the time for which a backend
// server may still run them. It is not safe for concurrent use.
type Record struct {
	size int
	ends map[uint64]time.Time // by the hash of the ID
}

// New returns an empty record of at most size requests.
func New(size int) *Record { return &Record{size: size, ends: make(map[uint64]time.Time)} }

// Add remembers the request with an ID until end. A full record forgets the requests
// whose time has passed or, if there are none, does not remember the new one.
func (r *Record) Add(now time.Time, id string, end time.Time) {
	if len(r.ends) >= r.size {
		for h, e := range r.ends {
			if !now.Before(e) {
				delete(r.ends, h)
			}
		}
		if len(r.ends) >= r.size {
			return
		}
	}
	r.ends[xxhash.Sum64String(id)] = end
}

// Remove forgets a request, because it runs again.
func (r *Record) Remove(id string) {
	if len(r.ends) > 0 {
		delete(r.ends, xxhash.Sum64String(id))
	}
}

// Contains reports whether a request was withdrawn and may still run.
func (r *Record) Contains(now time.Time, id string) bool {
	if len(r.ends) == 0 {
		return false
	}
	h := xxhash.Sum64String(id)
	end, ok := r.ends[h]
	if ok && !now.Before(end) {
		delete(r.ends, h)
		return false
	}
	return ok
}
