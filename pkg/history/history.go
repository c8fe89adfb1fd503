package history

import "github.com/cespare/xxhash/v2"

// History remembers the latest values that were added: at least the given number,
// and at most twice as many. It is not safe for concurrent use.
type History struct {
	size          int
	newest, older map[uint64]struct{} // hashes of the values
}

// New returns an empty history of at least size values.
func New(size int) *History {
	return &History{size: size, newest: make(map[uint64]struct{})}
}

// Add adds a value, and reports whether it was known. Another value with the same
// hash counts as known.
func (h *History) Add(value string) (known bool) {
	hash := xxhash.Sum64String(value)
	if _, ok := h.newest[hash]; ok {
		return true
	}
	_, known = h.older[hash]
	if len(h.newest) == h.size {
		h.older, h.newest = h.newest, make(map[uint64]struct{})
	}
	h.newest[hash] = struct{}{}
	return known
}
