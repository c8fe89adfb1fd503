package balancer

import (
	"time"

	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/priority"
)

// floorTime is how long the result of a scan of all servers is kept.
const floorTime = 5 * time.Millisecond

// Threshold returns the smallest threshold of all servers that take work, as
// they were told, and the age of the oldest of these. A call below it is
// refused by every server. ok is false if no server takes work or one has
// told no threshold yet.
func (b *Balancer) Threshold(now time.Time) (floor priority.Priority, age time.Duration, ok bool) {
	for _, s := range b.servers {
		if !s.present() {
			continue
		}
		value, told := s.threshold.LastUpdate()
		if told.IsZero() {
			return 0, 0, false
		}
		if !ok || value < floor {
			floor = value
		}
		age = max(age, now.Sub(told))
		ok = true
	}
	return floor, age, ok
}

// Floor returns the smallest threshold of all servers with the force that it
// has at now, or 0 if no server takes work.
func (b *Balancer) Floor(now time.Time) priority.Priority {
	if !now.Before(b.floorEnd) {
		b.keepFloor(now)
	}
	if b.floor == ^priority.Priority(0) {
		return 0
	}
	return b.floor
}

// keepFloor stores the smallest threshold for the next calls.
func (b *Balancer) keepFloor(now time.Time) {
	b.floor, b.floorEnd = ^priority.Priority(0), now.Add(floorTime)
	for _, s := range b.servers {
		if s.present() {
			b.floor = min(b.floor, s.threshold.At(now))
		}
	}
}

// refuses reports whether a recent scan found that no server admits p.
func (b *Balancer) refuses(now time.Time, p priority.Priority) bool {
	return p < b.floor && now.Before(b.floorEnd)
}

func (b *Balancer) dropFloor() { b.floorEnd = time.Time{} }

// critical calls are never refused on account of a told threshold alone: the
// server may still make room for them, see section 8 of the design.
func critical(p priority.Priority) bool { return p.Level() >= importance.Critical }
