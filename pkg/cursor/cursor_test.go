package cursor_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/cursor"
)

// Guards against a position that is used in another generation of the log, in
// which the same offset belongs to another record.
func TestPositionHoldsInOneGeneration(t *testing.T) {
	c := cursor.New()
	require.Equal(t, int64(cursor.None), c.Position(0))
	c.Advance(0, 1, 7)
	require.Equal(t, int64(7), c.Position(1))
	c.Advance(1, 1, 9)
	require.Equal(t, int64(9), c.Position(1))
	c.Advance(1, 2, 9)
	require.Equal(t, int64(cursor.None), c.Position(2), "the generation changed during the read")
	c.Advance(2, 2, 4)
	require.Equal(t, int64(cursor.None), c.Position(3), "another call learned of the generation first")
	require.Equal(t, int64(cursor.None), c.Position(2))
	c.Advance(3, 3, 5)
	c.Reset()
	require.Equal(t, int64(cursor.None), c.Position(3))
}

// Guards against a log without generations that is read from the start each time.
func TestLogWithoutGenerations(t *testing.T) {
	c := cursor.New()
	c.Advance(0, 0, 3)
	require.Equal(t, int64(3), c.Position(0))
}
