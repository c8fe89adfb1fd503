package freshness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/freshness"
)

// Guards against a node that takes its configuration for the newest one after it was cut
// off, after its start, or though another node has a newer one.
func TestIsCurrent(t *testing.T) {
	now := time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)
	var f freshness.Freshness
	require.False(t, f.IsCurrent(now, 3), "nothing is known after a start")
	f.Confirm(now, 3)
	require.True(t, f.IsCurrent(now.Add(5*time.Second), 3))
	require.False(t, f.IsCurrent(now.Add(time.Minute), 3), "no confirmation for long")
	f.Confirm(now.Add(time.Minute), 3)
	f.Announce(5)
	require.False(t, f.IsCurrent(now.Add(time.Minute), 3), "a newer version exists")
	require.False(t, f.IsCurrent(now.Add(time.Minute), 5), "nobody has confirmed it")
	f.Confirm(now.Add(time.Minute), 5)
	require.True(t, f.IsCurrent(now.Add(time.Minute), 5))
}

// Guards against a late confirmation of an older version, or of an earlier time, that
// replaces a newer one.
func TestLateConfirmations(t *testing.T) {
	now := time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)
	var f freshness.Freshness
	f.Confirm(now, 5)
	f.Confirm(now.Add(time.Second), 4)
	f.Confirm(now.Add(-time.Hour), 5)
	age, known := f.Age(now.Add(2*time.Second), 5)
	require.True(t, known)
	require.Equal(t, 2*time.Second, age)
	_, known = f.Age(now, 4)
	require.False(t, known)
}
