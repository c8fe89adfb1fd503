package boottime_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/boottime"
)

// Guards against a clock that does not run, runs backwards or can be stepped with the
// time of day.
func TestNow(t *testing.T) {
	before, start := boottime.Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	after, elapsed := boottime.Now(), time.Since(start)
	require.GreaterOrEqual(t, after.Sub(before), 20*time.Millisecond)
	require.InDelta(t, elapsed.Seconds(), after.Sub(before).Seconds(), 0.05)
}
