package edf_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/papayapath/papayapath/pkg/edf"
)

var start = time.Unix(1_700_000_000, 0)

// modelItem is an item of the reference model, which is a slice.
type modelItem struct {
	key    edf.Key
	seq    int
	isLate bool
	handle edf.Handle
}

// sortModel puts the items in the order that the queue has to follow. An item that was
// late once stays so.
func sortModel(model []modelItem, now time.Time) {
	for i := range model {
		model[i].isLate = model[i].isLate || now.After(model[i].key.Useful)
	}
	slices.SortFunc(model, func(a, b modelItem) int {
		if c := cmp.Compare(b.key.Level, a.key.Level); c != 0 {
			return c
		}
		switch {
		case a.isLate != b.isLate && a.isLate:
			return 1
		case a.isLate != b.isLate:
			return -1
		case a.isLate:
			return cmp.Or(a.key.Expires.Compare(b.key.Expires), cmp.Compare(a.seq, b.seq))
		}
		return cmp.Or(a.key.Useful.Compare(b.key.Useful), cmp.Compare(a.seq, b.seq))
	})
}

// Guards against items that are removed in the wrong order, lost or duplicated, while
// some of them become late.
func TestQueueMatchesSortedSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := edf.New[int](), start
		var model []modelItem
		seq := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				seq++
				useful := now.Add(time.Duration(rapid.IntRange(-20, 100).Draw(t, "useful")))
				m := modelItem{seq: seq, key: edf.Key{
					Level:  uint16(rapid.IntRange(0, 3).Draw(t, "level")),
					Useful: useful, Expires: useful.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "expires"))),
				}}
				m.handle = q.Push(m.key, seq)
				model = append(model, m)
			},
			"pop": func(t *rapid.T) {
				sortModel(model, now)
				got, ok := q.Pop(now)
				require.Equal(t, len(model) > 0, ok)
				if ok {
					require.Equal(t, model[0].seq, got)
					model = model[1:]
				}
			},
			"evict": func(t *rapid.T) {
				sortModel(model, now)
				last, ok := q.Last(now)
				require.Equal(t, len(model) > 0, ok)
				got, _ := q.Evict(now)
				require.Equal(t, last, got)
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
			"wait": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "time"))) },
			"": func(t *rapid.T) {
				require.Equal(t, len(model), q.Len())
				var want []int
				for _, m := range model {
					if !now.Before(m.key.Expires) {
						want = append(want, m.seq)
					}
				}
				require.ElementsMatch(t, want, q.AppendExpired(now, nil))
			},
		})
	})
}

// Load: requests with 4 s, 1.5 s and 0.5 s until their objective in one queue. Guards
// against the one with the least time behind the others, and against one that can no
// longer meet its objective before them.
func TestLeastTimeFirst(t *testing.T) {
	q := edf.New[string]()
	push := func(name string, left time.Duration) {
		q.Push(edf.Key{Useful: start.Add(left), Expires: start.Add(left + time.Second)}, name)
	}
	push("4 s", 4*time.Second)
	push("1.5 s", 1500*time.Millisecond)
	push("0.1 s", 100*time.Millisecond)
	push("0.5 s", 500*time.Millisecond)
	now := start.Add(200 * time.Millisecond)
	var got []string
	for q.Len() > 0 {
		v, _ := q.Pop(now)
		got = append(got, v)
	}
	require.Equal(t, []string{"0.5 s", "1.5 s", "4 s", "0.1 s"}, got)
}

// Guards against a stale handle that removes another item.
func TestRemoveTwicePanics(t *testing.T) {
	q := edf.New[int]()
	h := q.Push(edf.Key{Expires: start}, 1)
	q.Remove(h)
	require.Panics(t, func() { q.Remove(h) })
}

// Guards against an allocation for each request, at the length that the queue of a large
// server has.
func TestPushAndPopDoNotAllocate(t *testing.T) {
	q := edf.New[int]()
	i := 0
	push := func() {
		i++
		useful := start.Add(time.Duration(i*7919%10007) * time.Microsecond)
		q.Push(edf.Key{Level: uint16(i % 4), Useful: useful, Expires: useful.Add(time.Second)}, i)
	}
	for range 640 {
		push()
	}
	require.Zero(t, testing.AllocsPerRun(1000, func() { push(); q.Pop(start); push(); q.Evict(start) }))
}

func BenchmarkPushPop(b *testing.B) {
	for _, size := range []int{8, 256, 4096} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			q := edf.New[int]()
			push := func(i int) {
				useful := start.Add(time.Duration(i*7919%10007) * time.Microsecond)
				q.Push(edf.Key{Level: uint16(i % 4), Useful: useful, Expires: useful.Add(time.Second)}, i)
			}
			for i := range size {
				push(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				push(i)
				q.Pop(start)
			}
		})
	}
}
