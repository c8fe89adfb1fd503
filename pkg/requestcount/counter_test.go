package requestcount_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/requestcount"
)

const window = 10 * time.Second

var start = time.Unix(1_790_000_000, 0)

// Guards against a retry budget that shrinks while all servers of a service shed for 8 s
// and few requests are begun, and against one that rests for longer on requests of before.
func TestEarlierWindowsCount(t *testing.T) {
	c := requestcount.New(window)
	now := start
	send := func(d time.Duration, perStep float64) {
		for end := now.Add(d); now.Before(end); now = now.Add(10 * time.Millisecond) {
			c.Add(now, perStep)
		}
	}
	send(2*window, 10)
	require.InDelta(t, 10_000, c.Count(now), 600)
	send(8*time.Second, 1)
	require.InDelta(t, 10_000, c.Count(now), 600)
	require.InDelta(t, 50, c.Recent(now, 500*time.Millisecond), 10)
	send(2*window, 1)
	require.InDelta(t, 1000, c.Count(now), 60)
	require.Zero(t, c.Count(now.Add(3*window)))
}

// Guards against a count that is read at a time before the newest request: the time of
// the system may be set back.
func TestTimeSetBack(t *testing.T) {
	c := requestcount.New(window)
	c.Add(start, 5)
	require.Zero(t, c.Count(start.Add(-time.Hour)))
	c.Add(start, 5)
	require.InDelta(t, 5, c.Count(start), 0)
}
