package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/balancer"
	"github.com/papayapath/papayapath/pkg/message"
)

// refused raises the thresholds of all servers above the benchmark's calls.
const refused = 200

// Guards against an allocation for each choice.
func TestChooseDoesNotAllocate(t *testing.T) {
	for _, n := range []int{3, 500} {
		b := service(n)
		answer := complete(0)
		require.Zero(t, testing.AllocsPerRun(1000, func() { choose(b, start, answer) }))
		refuse(start, b, n, normal+refused)
		require.Zero(t, testing.AllocsPerRun(1000, func() { b.Choose(start, normal, nil) }))
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{1, 6, 50, 500, 7200} {
		x := service(n)
		answer := complete(0)
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(20 * time.Microsecond)
				choose(x, now, answer)
			}
		})
		refuse(start, x, n, normal+refused)
		b.Run(fmt.Sprintf("scanned/servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				x.Restore(id(0)) // drops the result of the last scan
				x.Choose(start, normal, nil)
			}
		})
	}
}

func choose(b *balancer.Balancer, now time.Time, answer *message.Answer) {
	s, _ := b.Choose(now, normal, nil)
	b.Start(now, s, normal)
	b.Answered(now, s, normal, time.Millisecond, answer)
}
