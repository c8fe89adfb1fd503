package readiness

import (
	"fmt"
	"time"
)

const (
	// maxSlots is the largest plausible number of slots of a server.
	maxSlots = 1 << 16
	// maxSequence is the largest plausible sequence number. At one heartbeat a
	// millisecond it is reached after 34 years.
	maxSequence = 1 << 40
	// maxClockLead is how far a clock can plausibly be ahead of the own.
	maxClockLead = 24 * time.Hour
)

// ValueError reports a value that no working server states. Taken as true, it would
// make each later sound report look old, or lift a limit.
type ValueError struct {
	name  string
	value int64
}

// Error states the name and the value.
func (e *ValueError) Error() string { return fmt.Sprintf("%s %d is implausible", e.name, e.value) }

// Validate returns a *ValueError if the heartbeat has an implausible value.
func (h Heartbeat) Validate(now time.Time) error {
	if h.Sequence > maxSequence {
		return &ValueError{name: "sequence number", value: h.Sequence}
	}
	if err := ValidateStart(now, h.Born); err != nil {
		return err
	}
	return ValidateSlots(h.Slots)
}

// ValidateSlots returns a *ValueError if a number of slots is implausible.
func ValidateSlots(slots int) error {
	if slots < 0 || slots > maxSlots {
		return &ValueError{name: "number of slots", value: int64(slots)}
	}
	return nil
}

// ValidateStart returns a *ValueError if a start, in Unix milliseconds by another
// clock, lies implausibly far after now.
func ValidateStart(now time.Time, start int64) error {
	if start < 0 || start > now.Add(maxClockLead).UnixMilli() {
		return &ValueError{name: "start", value: start}
	}
	return nil
}
