package prospect_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/prospect"
)

var start = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

// Load: 8 requests a second of the least important kind at each entry node, whose calls
// expire in the queue of a full service for 10 s, 1.4 s after the requests were begun.
// Guards against requests that are begun for nothing, and against a kind that is refused
// after the service has room again.
func TestNothingIsBegunWithoutProspect(t *testing.T) {
	tracker := prospect.New[string]()
	const interval, duration = 125 * time.Millisecond, 1400 * time.Millisecond
	type end struct {
		at   time.Time
		well bool
	}
	var pending []end
	begun, refusedAfter := 0, 0
	for i := range 30 * 8 {
		now := start.Add(time.Duration(i) * interval)
		for len(pending) > 0 && !pending[0].at.After(now) {
			tracker.Record(pending[0].at, "gift", pending[0].well)
			pending = pending[1:]
		}
		isFull := i < 10*8
		switch {
		case tracker.Allows(now, "gift"):
			if isFull {
				begun++
			}
			pending = append(pending, end{at: now.Add(duration), well: !isFull})
		case i > 17*8:
			refusedAfter++
		}
	}
	require.Less(t, begun, 80*2/5, "all 80 without a look at the prospects")
	require.Zero(t, refusedAfter, "7 s after the end of the overload")
	require.True(t, tracker.Allows(start, "view"))
}

// Guards against a kind that is refused after a few failures among many good ends.
func TestFewFailures(t *testing.T) {
	tracker := prospect.New[string]()
	for i := range 200 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		tracker.Record(now, "view", i%3 != 2)
		require.True(t, tracker.Allows(now, "view"))
	}
	for range 3 {
		tracker.Record(start.Add(2*time.Second), "view", false)
	}
	require.True(t, tracker.Allows(start.Add(2*time.Second), "view"))
	for range 20 {
		tracker.Record(start.Add(2*time.Second), "view", false)
	}
	require.True(t, tracker.Allows(start.Add(4*time.Second), "view"), "a probe")
	require.False(t, tracker.Allows(start.Add(4*time.Second), "view"))
	require.True(t, tracker.Allows(start.Add(time.Minute), "view"))
}
