package guard

import (
	"time"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/lease"
	"github.com/papayapath/papayapath/pkg/ownership"
)

const (
	// Skew is the largest difference between the clocks of two instances.
	Skew = 200 * time.Millisecond
	// maxHistory bounds the tables that are kept to tell which keys an owner
	// has held without a break.
	maxHistory = 16
)

// history holds the newest tables in log order. It is the fence that keeps an
// owner from running a key that an earlier owner may have run.
type history struct {
	tables []fenced
}

// fenced is a table and the time of issue up to which an earlier owner may
// have run a key.
type fenced struct {
	owners ownership.Owners
	fence  time.Time
}

// add appends a table that was read at now. The leases of all owners of the
// table before have ended one stretched lease after that; keys that they took
// were issued no later than twice the skew beyond.
func (h *history) add(now time.Time, owners ownership.Owners) {
	if len(h.tables) == maxHistory {
		h.tables = append(h.tables[:0], h.tables[1:]...)
	}
	fence := now.Add(lease.Stretch(lease.Duration) + 2*Skew)
	h.tables = append(h.tables, fenced{owners: owners, fence: fence})
}

func (h *history) clear() { h.tables = nil }

// passed reports whether no other owner can have run a key of self: it was
// issued after the fence of the table that gave it to self.
func (h *history) passed(self instance.ID, hash uint64, issued time.Time) bool {
	for i := len(h.tables) - 1; i >= 0; i-- {
		if issued.After(h.tables[i].fence) {
			return true
		}
		if i == 0 {
			return false
		}
		owner, ok := h.tables[i-1].owners.Owner(hash)
		if !ok || owner != self {
			return false
		}
	}
	return false
}
