package memory_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/memory"
)

// claim returns a claim of the given size, which counts its revocations.
func claim(t *testing.T, b *memory.Budget, class memory.Class, size int) (*memory.Claim, *int) {
	revocations := new(int)
	c := b.Claim(memory.Response, class, func() { *revocations++ })
	require.NoError(t, c.Grow(size))
	return c, revocations
}

// Guards against a sum that exceeds the budget, and against a budget that does not
// get back what was released.
func TestSumIsBounded(t *testing.T) {
	b := memory.New(100)
	first, _ := claim(t, b, memory.Fixed, 60)
	second := b.Claim(memory.Request, memory.Unstarted, func() {})
	err := second.Grow(50)
	var exhausted *memory.ExhaustedError
	require.ErrorAs(t, err, &exhausted)
	require.False(t, exhausted.IsOversized())
	require.NoError(t, second.Grow(40))
	require.Equal(t, int64(100), b.Stats().Used)
	first.Retain()
	first.Release()
	require.Error(t, second.Grow(1))
	first.Release()
	first.Release()
	require.NoError(t, second.Grow(60))
	require.ErrorAs(t, second.Grow(1), &exhausted)
	require.True(t, exhausted.IsOversized())
	second.Release()
	require.Zero(t, b.Stats().Used)
	require.Equal(t, int64(100), b.Stats().Peak)
}

// Guards against sound requests that pay for a faulty server: the order in which
// content is given up.
func TestOrderOfRevocation(t *testing.T) {
	b := memory.New(100)
	body, bodyRevoked := claim(t, b, memory.Unstarted, 20)
	announced, announcedRevoked := claim(t, b, memory.Announced, 30)
	small, smallRevoked := claim(t, b, memory.Endless, 10)
	_, largeRevoked := claim(t, b, memory.Endless, 40)
	sound := b.Claim(memory.Request, memory.Unstarted, nil)
	require.NoError(t, sound.Grow(20))
	require.Equal(t, 1, *largeRevoked)
	require.NoError(t, sound.Grow(25))
	require.Equal(t, 1, *smallRevoked)
	require.Error(t, small.Complete())
	require.Error(t, small.Grow(1))
	// The others are smaller than the claim that grows.
	require.Error(t, sound.Grow(10))
	other := b.Claim(memory.Frame, memory.Fixed, nil)
	require.NoError(t, other.Grow(10))
	require.Equal(t, []int{0, 1, 1, 1}, []int{*bodyRevoked, *announcedRevoked, *smallRevoked, *largeRevoked})
	require.Error(t, announced.Complete())
	require.NoError(t, body.Complete())
}

// Guards against an endless response that takes the place of smaller ones, and
// against the revocation of complete content.
func TestLargestGoesFirst(t *testing.T) {
	b := memory.New(100)
	largest, largestRevoked := claim(t, b, memory.Endless, 50)
	_, smallerRevoked := claim(t, b, memory.Endless, 50)
	require.Error(t, largest.Grow(10))
	require.Zero(t, *smallerRevoked)
	require.NoError(t, largest.Complete())
	c := b.Claim(memory.Frame, memory.Fixed, nil)
	require.NoError(t, c.Grow(50))
	require.Equal(t, []int{0, 1}, []int{*largestRevoked, *smallerRevoked})
	require.Error(t, c.Grow(1))
	c.Force(10)
	require.Equal(t, int64(110), b.Stats().Used)
}

// Guards against messages of the same size that grow at the same time and are all
// refused, because the first to be refused still holds its part.
func TestRefusedMessageMakesRoom(t *testing.T) {
	b := memory.New(100)
	first, firstRevoked := claim(t, b, memory.Unstarted, 50)
	second, secondRevoked := claim(t, b, memory.Unstarted, 50)
	require.Error(t, first.GrowOrRelease(10))
	require.NoError(t, second.GrowOrRelease(10))
	require.Equal(t, int64(60), b.Stats().Used)
	require.Equal(t, []int{0, 0}, []int{*firstRevoked, *secondRevoked})
	first.Release()
	require.NoError(t, second.Complete())
	second.Release()
	require.Zero(t, b.Stats().Used)
}

// Guards against a path that drops a message and shrinks the budget for good.
func TestUnreachableClaimIsReleased(t *testing.T) {
	b := memory.New(100)
	func() {
		c, _ := claim(t, b, memory.Endless, 100)
		require.NoError(t, c.Complete())
	}()
	require.Eventually(t, func() bool { runtime.GC(); return b.Stats().Used == 0 }, 10*time.Second, 10*time.Millisecond)
}

// Checks that without a budget nothing is bounded.
func TestNoBudget(t *testing.T) {
	var b *memory.Budget
	c := b.Claim(memory.Request, memory.Unstarted, nil)
	require.NoError(t, c.Grow(1<<40))
	require.NoError(t, c.Complete())
	c.Retain()
	c.Release()
}
