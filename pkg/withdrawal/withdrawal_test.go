package withdrawal_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/withdrawal"
)

var start = time.Unix(1000, 0)

// Guards against calls that go on for a withdrawn request, and against a request
// that is taken for withdrawn although it runs again or its time has passed.
func TestWithdrawnUntilItsEnd(t *testing.T) {
	r := withdrawal.New(10)
	require.False(t, r.Contains(start, "a"))
	r.Add(start, "a", start.Add(time.Second))
	r.Add(start, "b", start.Add(time.Second))
	require.True(t, r.Contains(start.Add(999*time.Millisecond), "a"))
	require.False(t, r.Contains(start, "c"))
	r.Remove("a")
	require.False(t, r.Contains(start, "a"))
	require.False(t, r.Contains(start.Add(time.Second), "b"))
}

// Guards against a record that grows without bound, and against a full one that
// forgets requests whose time has not passed.
func TestFullRecord(t *testing.T) {
	r := withdrawal.New(10)
	for i := range 20 {
		r.Add(start, strconv.Itoa(i), start.Add(time.Second))
	}
	for i := range 20 {
		require.Equal(t, i < 10, r.Contains(start, strconv.Itoa(i)), i)
	}
	later := start.Add(time.Second)
	r.Add(later, "new", later.Add(time.Second))
	require.True(t, r.Contains(later, "new"))
}
