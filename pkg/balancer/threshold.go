package balancer

import (
	"time"

	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/priority"
)

const (
	// thresholdHold is the age up to which a threshold is taken as told.
	// Servers adapt it every 50 ms, so it covers two steps.
	thresholdHold = 100 * time.Millisecond
	// thresholdEnd is the age from which a threshold holds back no call.
	// Between the two it falls in a straight line, so that a trickle of calls,
	// the most important first, finds out whether it still stands.
	thresholdEnd = 500 * time.Millisecond
	// floorTime is how long the result of a scan of all servers is kept.
	floorTime = 5 * time.Millisecond
)

// effective returns the threshold after the decay by its age. It is never
// above the threshold that was told. A call that was sent in spite of the
// threshold starts the time again, so that one call and not all of them find
// out.
func (s *Server) effective(now time.Time) priority.Priority {
	if s.threshold == 0 {
		return 0
	}
	age := now.Sub(s.held)
	switch {
	case age <= thresholdHold:
		return s.threshold
	case age >= thresholdEnd:
		return 0
	}
	left := float64(thresholdEnd-age) / float64(thresholdEnd-thresholdHold)
	return priority.Priority(float64(s.threshold) * left)
}

// admits reports whether the server is expected to admit a call of priority p.
func (s *Server) admits(now time.Time, p priority.Priority) bool {
	return p >= s.effective(now)
}

// Threshold returns the smallest threshold of all servers that take work, as
// they were told, and the age of the oldest of these. A call below it is
// refused by every server. ok is false if no server takes work or one has
// told no threshold yet.
func (b *Balancer) Threshold(now time.Time) (floor priority.Priority, age time.Duration, ok bool) {
	for _, s := range b.servers {
		if !s.present() {
			continue
		}
		if s.told.IsZero() {
			return 0, 0, false
		}
		if !ok || s.threshold < floor {
			floor = s.threshold
		}
		age = max(age, now.Sub(s.told))
		ok = true
	}
	return floor, age, ok
}

// refuses reports whether a recent scan found that no server admits p.
func (b *Balancer) refuses(now time.Time, p priority.Priority) bool {
	return p < b.floor && now.Before(b.floorEnd)
}

func (b *Balancer) dropFloor() { b.floorEnd = time.Time{} }

// critical calls are never refused on account of a told threshold alone: the
// server may still make room for them, see section 8 of the design.
func critical(p priority.Priority) bool { return p.Level() >= importance.Critical }
