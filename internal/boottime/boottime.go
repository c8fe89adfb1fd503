package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the reading of the clock as a time since an arbitrary origin, which is the
// same for all processes of the machine. It has no monotonic reading, and steps of the
// time of day do not change it. If the clock cannot be read, which Linux allows for no
// process, it returns the zero time, at which nothing is permitted yet.
func Now() time.Time {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return time.Time{}
	}
	return time.Unix(t.Unix())
}
