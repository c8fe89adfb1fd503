package freshness

import "time"

// maxAge is the age of a confirmation from which the configuration may be out of date.
// The log is read at least every 0.8 s in each failure domain, and a confirmation
// reaches few nodes later than 5 s after that.
const maxAge = 8 * time.Second

// Freshness records up to when the configuration in force is known to have been the
// newest one. The zero value knows nothing.
//
// All times are readings of a clock that also counts the time for which the process is
// suspended: afterwards, nothing is known of the configuration.
//
// A Freshness is not safe for concurrent use.
type Freshness struct {
	version   uint64    // highest version heard of
	confirmed time.Time // when version was known to be the newest
}

// Announce records that a version exists.
func (f *Freshness) Announce(version uint64) {
	if version > f.version {
		f.version, f.confirmed = version, time.Time{}
	}
}

// Confirm records that version was the newest one at the given time.
func (f *Freshness) Confirm(at time.Time, version uint64) {
	f.Announce(version)
	if version == f.version && at.After(f.confirmed) {
		f.confirmed = at
	}
}

// Age returns the time since version was known to be the newest one. known is false if
// that was never the case, or if a higher version exists.
func (f *Freshness) Age(now time.Time, version uint64) (age time.Duration, known bool) {
	if version < f.version || f.confirmed.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(f.confirmed)), true
}

// IsCurrent reports whether version can be taken as the newest one.
func (f *Freshness) IsCurrent(now time.Time, version uint64) bool {
	age, known := f.Age(now, version)
	return known && age <= maxAge
}
