package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/balancer"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/priority"
)

// refuse lets every server refuse one call with a threshold.
func refuse(now time.Time, b *balancer.Balancer, n int, threshold priority.Priority) {
	for i := range n {
		s, _ := b.Server(id(i))
		b.Start(now, s, normal)
		b.Answered(now, s, normal, time.Millisecond, refusal(threshold))
	}
}

// Guards against calls that are sent although every server would refuse them,
// and against a refusal while one server still admits.
func TestEarlyRefusalFollowsTheSmallestThreshold(t *testing.T) {
	for _, n := range []int{3, 50} {
		b := service(n)
		_, _, ok := b.Threshold(start)
		require.False(t, ok, "nothing is known yet")
		refuse(start, b, n, normal+100)
		now := start.Add(30 * time.Millisecond)
		floor, age, ok := b.Threshold(now)
		require.True(t, ok)
		require.Equal(t, normal+100, floor)
		require.Equal(t, 30*time.Millisecond, age)
		_, verdict := b.Choose(now, normal+99, nil)
		require.Equal(t, balancer.Refused, verdict)
		_, verdict = b.Choose(now, normal+100, nil)
		require.Equal(t, balancer.Chosen, verdict)

		s, _ := b.Server(id(1))
		b.Start(now, s, normal)
		b.Answered(now, s, normal, time.Millisecond, complete(normal))
		got, verdict := b.Choose(now, normal+50, nil)
		require.Equal(t, balancer.Chosen, verdict)
		require.Equal(t, id(1), got.ID())
	}
}

// Guards against a critical call that is refused unseen while a server could
// make room for it, and against endless redirects of it.
func TestCriticalCallIsAskedOnce(t *testing.T) {
	b := service(2)
	high := priority.Lowest(importance.Critical)
	refuse(start, b, 2, high+200)
	s, verdict := b.Choose(start, high, nil)
	require.Equal(t, balancer.Chosen, verdict)
	_, verdict = b.Choose(start, high, []*balancer.Server{s})
	require.Equal(t, balancer.Refused, verdict)
}

// Guards against a threshold that has fallen and is not noticed by a caller
// whose calls are all below it, and against a trickle that is a flood while
// the threshold stands.
func TestFallenThresholdIsNoticed(t *testing.T) {
	const servers = 3
	for _, distance := range []priority.Priority{1, 100, 250} {
		b := service(servers)
		threshold := normal + 250
		p := threshold - distance
		refuse(start, b, servers, threshold)
		now, sent := start, 0
		for range 3000 { // 3 s, one call each ms, answered 2 ms later
			now = now.Add(time.Millisecond)
			if s, verdict := b.Choose(now, p, nil); verdict == balancer.Chosen {
				sent++
				b.Start(now, s, p)
				b.Answered(now.Add(2*time.Millisecond), s, p, 2*time.Millisecond, refusal(threshold))
			}
		}
		t.Logf("distance %d: %d of 3000 calls sent to %d servers in 3 s", distance, sent, servers)
		require.Positive(t, sent)
		require.LessOrEqual(t, sent, servers*30, "10 calls a second and server")

		fallen, noticed := now, map[*balancer.Server]time.Duration{}
		for now.Sub(fallen) < 2*time.Second {
			now = now.Add(time.Millisecond)
			if s, verdict := b.Choose(now, p, nil); verdict == balancer.Chosen {
				if _, known := noticed[s]; !known {
					noticed[s] = now.Sub(fallen)
				}
				b.Start(now, s, p)
				b.Answered(now, s, p, 2*time.Millisecond, complete(0))
			}
		}
		require.Len(t, noticed, servers)
		for _, d := range noticed {
			require.Less(t, d, 700*time.Millisecond)
		}
	}
}

// Guards against a second call in spite of a threshold while the first is
// still on its way.
func TestOneCallFindsOut(t *testing.T) {
	b := service(1)
	refuse(start, b, 1, normal+200)
	now := start.Add(600 * time.Millisecond)
	s, verdict := b.Choose(now, normal, nil)
	require.Equal(t, balancer.Chosen, verdict)
	b.Start(now, s, normal)
	_, verdict = b.Choose(now.Add(time.Millisecond), normal, nil)
	require.Equal(t, balancer.Refused, verdict)
}

// Guards against a server that is passed over for all calls because it refused
// one below its threshold; one that refused for a full queue is.
func TestOnlyFullServerIsPassedOver(t *testing.T) {
	for _, full := range []bool{false, true} {
		b := service(2)
		refuse(start, b, 1, normal+1)
		if full {
			refuse(start, b, 1, normal)
		}
		chosen := map[*balancer.Server]bool{}
		for range 100 {
			s, _ := b.Choose(start, normal+50, nil)
			chosen[s] = true
		}
		require.Equal(t, full, len(chosen) == 1)
	}
}
