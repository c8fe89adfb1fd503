package queue_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/papayapath/papayapath/pkg/priority"
	"github.com/papayapath/papayapath/pkg/queue"
)

var start = time.Unix(1_700_000_000, 0)

// modelItem is an item of the reference model, which is a sorted slice.
type modelItem struct {
	p       priority.Priority
	seq     int
	expires time.Time
	handle  queue.Handle
}

// Guards against items that are removed in the wrong order, lost or
// duplicated.
func TestQueueMatchesSortedSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New[int]()
		var model []modelItem
		seq := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				seq++
				w := modelItem{
					p:       priority.Priority(rapid.Uint16Range(0, 1023).Draw(t, "priority")),
					expires: start.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "expires"))),
					seq:     seq,
				}
				w.handle = q.Push(w.p, w.expires, seq)
				at, _ := slices.BinarySearchFunc(model, w, func(a, b modelItem) int {
					if a.p != b.p {
						return int(b.p) - int(a.p)
					}
					return a.seq - b.seq
				})
				model = slices.Insert(model, at, w)
			},
			"pop": func(t *rapid.T) {
				got, ok := q.Pop()
				require.Equal(t, len(model) > 0, ok)
				if ok {
					require.Equal(t, model[0].seq, got)
					model = model[1:]
				}
			},
			"evict": func(t *rapid.T) {
				got, ok := q.Evict()
				require.Equal(t, len(model) > 0, ok)
				if ok {
					require.Equal(t, model[len(model)-1].seq, got)
					model = model[:len(model)-1]
				}
			},
			"remove": func(t *rapid.T) {
				if len(model) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(model)-1).Draw(t, "index")
				require.Equal(t, model[i].seq, q.Remove(model[i].handle))
				model = slices.Delete(model, i, i+1)
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(model), q.Len())
				now := start.Add(50)
				var want []int
				for _, w := range model {
					if !now.Before(w.expires) {
						want = append(want, w.seq)
					}
				}
				require.ElementsMatch(t, want, q.AppendExpired(now, nil))
			},
		})
	})
}

// Guards against a stale handle that removes another item.
func TestRemoveTwicePanics(t *testing.T) {
	q := queue.New[int]()
	h := q.Push(1, start, 1)
	q.Remove(h)
	require.Panics(t, func() { q.Remove(h) })
}

// Guards against a panic or a wrong order for a priority out of range, which
// a faulty peer may send.
func TestPriorityOutOfRangeCountsAsHighest(t *testing.T) {
	q := queue.New[int]()
	q.Push(priority.Count-1, start, 1)
	q.Push(65535, start, 2)
	got, _ := q.Pop()
	require.Equal(t, 1, got)
}

func BenchmarkPushPop(b *testing.B) {
	for _, size := range []int{8, 256, 4096} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			q := queue.New[int]()
			for i := range size {
				q.Push(priority.Priority(i*7%1024), start, i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.Push(priority.Priority(i*13%1024), start, i)
				q.Pop()
			}
		})
	}
}
