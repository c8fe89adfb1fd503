package term_test

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/term"
)

const (
	self     = "10.0.0.1:7000"
	other    = "10.0.0.2:7000"
	duration = 15 * time.Second
	wait     = duration + duration/100 // with the tolerance of clocks
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a time in seconds after start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// hold returns a term that holds its part by an append that began at start, at the end 8.
func hold(t *testing.T) *term.Term {
	m := term.New(0, self, 5)
	m.Observe(at(-60), term.Record{Holder: other, Generation: 1}, 7, 1)
	a := m.Next(start, 0, 0)
	require.Equal(t, term.Append, a.Kind)
	m.Begin(start, a)
	m.Appended(at(0.5), 8, 1, term.Done)
	require.True(t, m.Holds(at(0.5)))
	return m
}

// Guards against a claim while another holder may have the right, which each record
// allows from a certain time on, and against one that is never made.
func TestClaim(t *testing.T) {
	const generation = 3
	sound := term.Record{Holder: other, Incarnation: 5, Number: 9, Generation: generation}
	with := func(r term.Record, change func(*term.Record)) term.Record {
		change(&r)
		return r
	}
	older := func(r *term.Record) { r.Generation-- }
	released := with(sound, func(r *term.Record) { r.Released = true })
	own := with(sound, func(r *term.Record) { r.Holder, r.Incarnation = self, 4 })
	for name, c := range map[string]struct {
		record      term.Record
		end         int64
		rank        int
		incarnation int64
		want        time.Duration
	}{
		"another holder":                             {sound, 8, 0, 5, wait},
		"another holder, second candidate":           {sound, 8, 1, 5, wait + time.Second},
		"released":                                   {released, 8, 0, 5, 0},
		"released, third candidate":                  {released, 8, 2, 5, 2 * time.Second},
		"released, log came back":                    {with(released, older), 8, 0, 5, wait},
		"holder restarted":                           {sound, 8, 0, 6, 0},
		"holder restarted, log came back":            {with(sound, older), 8, 0, 6, wait},
		"earlier process of the node":                {own, 8, 1, 0, 0},
		"earlier process of the node, log came back": {with(own, older), 8, 0, 0, wait},
		"later process of the node":                  {with(own, func(r *term.Record) { r.Incarnation = 6 }), 8, 0, 0, wait},
		"no record, log came back":                   {term.Record{}, 0, 0, 0, wait},
	} {
		t.Run(name, func(t *testing.T) {
			m := term.New(0, self, 5, term.WithFirstGeneration(1))
			m.Observe(start, c.record, c.end, generation)
			m.Next(start, c.rank, c.incarnation)
			if c.want > 0 {
				a := m.Next(start.Add(c.want-time.Nanosecond), c.rank, c.incarnation)
				require.Equal(t, term.Wait, a.Kind)
				require.True(t, a.Until.Equal(start.Add(c.want)))
			}
			a := m.Next(start.Add(c.want), c.rank, c.incarnation)
			require.Equal(t, term.Append, a.Kind)
			require.Equal(t, c.end, a.At)
			require.Equal(t, term.Record{Holder: self, Incarnation: 5, Number: 1, Generation: generation}, a.Record)
		})
	}
}

// Guards against a first start of the whole system in which nothing is allocated for the
// duration of a term.
func TestFirstStart(t *testing.T) {
	m := term.New(0, self, 5, term.WithFirstGeneration(1))
	a := m.Next(start, 0, 0)
	require.Equal(t, term.Read, a.Kind)
	m.Begin(start, a)
	require.Equal(t, term.Wait, m.Next(at(1), 0, 0).Kind, "the read is in progress")
	m.Refreshed(at(1), term.Record{}, 0, 1, nil)
	require.Equal(t, term.Append, m.Next(at(1), 0, 0).Kind)
	require.Equal(t, term.Wait, m.Next(at(1), 1, 0).Kind)
	require.Equal(t, term.Wait, m.Next(at(100), -1, 0).Kind, "no candidate")
}

// Guards against a right that lasts longer than counted from the start of the append, or
// from a renewal that failed.
func TestRightCountsFromStart(t *testing.T) {
	m := hold(t)
	require.True(t, m.Holds(at(14.9)))
	require.False(t, m.Holds(at(15)))
	a := m.Next(at(2.4), 0, 0)
	require.Equal(t, term.Wait, a.Kind)
	a = m.Next(at(2.5), 0, 0)
	require.Equal(t, term.Append, a.Kind)
	m.Begin(at(3), a)
	m.Appended(at(3.1), 0, 1, term.Rejected)
	require.False(t, m.Holds(at(15)))
	a = m.Next(at(4), 0, 0)
	require.Equal(t, term.Append, a.Kind)
	m.Begin(at(4), a)
	m.Appended(at(6), 9, 1, term.Done)
	require.True(t, m.Holds(at(18.9)))
	require.False(t, m.Holds(at(19)))
	require.Equal(t, uint64(1), m.Period(), "renewed without a gap")
}

// Guards against an append without an answer that is taken for failed, or whose record is
// recognized but counted from a later time.
func TestAppendWithoutAnswer(t *testing.T) {
	m := hold(t)
	a := m.Next(at(3), 0, 0)
	m.Begin(at(3), a)
	m.Appended(at(5), 0, 1, term.Unknown)
	read := m.Next(at(5.5), 0, 0)
	require.Equal(t, term.Read, read.Kind)
	m.Begin(at(5.5), read)
	m.Refreshed(at(6), a.Record, 9, 1, nil)
	require.True(t, m.Holds(at(17.9)))
	require.False(t, m.Holds(at(18)))

	// A later append fails because the earlier one took effect after the read.
	m = hold(t)
	first := m.Next(at(3), 0, 0)
	m.Begin(at(3), first)
	m.Appended(at(5), 0, 1, term.Unknown)
	m.Refreshed(at(6), term.Record{Holder: self, Incarnation: 5, Number: 1, Generation: 1}, 8, 1, nil)
	second := m.Next(at(7), 0, 0)
	require.Equal(t, first.At, second.At)
	require.NotEqual(t, first.Record.Number, second.Record.Number)
	m.Begin(at(7), second)
	m.Appended(at(7.1), 0, 1, term.Conflict)
	m.Refreshed(at(7.2), first.Record, 9, 1, nil)
	require.False(t, m.Holds(at(15)), "the start of the first append is not known any more")
	require.Equal(t, term.Append, m.Next(at(7.2), 0, 0).Kind)
}

// Guards against a right from an append that took effect after the log had come back from
// a copy, at an end that meant another record before.
func TestAppendInAnotherGeneration(t *testing.T) {
	m := term.New(0, self, 5)
	m.Observe(at(-60), term.Record{Holder: other, Generation: 1}, 7, 1)
	a := m.Next(start, 0, 0)
	m.Begin(start, a)
	m.Appended(at(1), 8, 2, term.Done)
	require.False(t, m.Holds(at(1)))
	require.Equal(t, term.Read, m.Next(at(1), 0, 0).Kind)
	m.Refreshed(at(1.5), a.Record, 8, 2, nil)
	require.False(t, m.Holds(at(1.5)))
	_, _, ok := m.Announcement()
	require.False(t, ok)
	require.Equal(t, term.Wait, m.Next(at(1.5), 0, 0).Kind, "another node may hold the right of a lost record")
	require.Equal(t, term.Append, m.Next(at(1.5).Add(wait), 0, 0).Kind)
}

// Guards against a holder that gives its right up, or does not record it again, when the
// log comes back without its record.
func TestHolderAfterRestore(t *testing.T) {
	m := hold(t)
	m.Observe(at(2), term.Record{Holder: other, Incarnation: 3, Generation: 1, Released: true}, 3, 2)
	require.True(t, m.Holds(at(2)))
	a := m.Next(at(2), 0, 0)
	require.Equal(t, term.Append, a.Kind)
	require.Equal(t, int64(3), a.At)
	m.Begin(at(2), a)
	m.Appended(at(2.1), 4, 2, term.Done)
	require.True(t, m.Holds(at(16.9)))
	require.Equal(t, uint64(1), m.Period())
}

// Guards against a holder that goes on beside the node that took its part over, and
// against buckets that are kept although another node has allocated meanwhile.
func TestHolderThatWasReplaced(t *testing.T) {
	m := hold(t)
	m.Observe(at(5), term.Record{Holder: other, Incarnation: 3, Generation: 1}, 9, 1)
	require.False(t, m.Holds(at(5)))
	address, ok := m.Holder()
	require.True(t, ok)
	require.Equal(t, other, address)
	a := m.Next(at(5).Add(wait), 0, 0)
	m.Begin(at(30), a)
	m.Appended(at(30.1), 10, 1, term.Done)
	require.True(t, m.Holds(at(31)))
	require.Equal(t, uint64(2), m.Period())
}

// Guards against announcements that are late and overwrite what is known.
func TestLateAnnouncement(t *testing.T) {
	m := hold(t)
	m.Observe(at(1), term.Record{Holder: other, Generation: 1}, 7, 1)
	m.Observe(at(1), term.Record{Holder: other, Generation: 0}, 99, 0)
	address, _ := m.Holder()
	require.Equal(t, self, address)
	require.True(t, m.Holds(at(1)))
}

// Guards against a planned stop after which the node goes on, or the others wait.
func TestRelease(t *testing.T) {
	m := hold(t)
	a, ok := m.Release()
	require.True(t, ok)
	require.True(t, a.Record.Released)
	require.False(t, m.Holds(at(1)))
	m.Begin(at(1), a)
	m.Appended(at(1.1), 9, 1, term.Done)
	require.False(t, m.Holds(at(1.1)))
	r, end, ok := m.Announcement()
	require.True(t, ok)
	candidate := term.New(0, other, 3)
	candidate.Observe(at(1.2), r, end, r.Generation)
	_, ok = candidate.Holder()
	require.False(t, ok)
	require.Equal(t, term.Append, candidate.Next(at(1.2), 0, 0).Kind)

	// A renewal is in progress: it gives no right, and the release follows it.
	m = hold(t)
	a = m.Next(at(3), 0, 0)
	m.Begin(at(3), a)
	_, ok = m.Release()
	require.False(t, ok)
	m.Appended(at(3.1), 9, 1, term.Done)
	require.False(t, m.Holds(at(3.1)))
	a, ok = m.Release()
	require.True(t, ok)
	require.Equal(t, int64(9), a.At)
}

// Guards against candidates that flood the log while it is down, and against holders that
// do not renew soon after it is back.
func TestCallsWhileLogIsDown(t *testing.T) {
	calls := func(m *term.Term, rank int, seconds float64) (n int) {
		for s := 0.0; s < seconds; s += 0.1 {
			if a := m.Next(at(s), rank, 0); a.Kind != term.Wait {
				n++
				m.Begin(at(s), a)
				if a.Kind == term.Read {
					m.Refreshed(at(s), term.Record{}, 0, 0, errors.New("down"))
				} else {
					m.Appended(at(s), 0, 0, term.Unknown)
				}
			}
		}
		return n
	}
	require.InDelta(t, 24, calls(hold(t), 0, 14), 3)
	all := 0
	for rank := range 69 {
		all += calls(term.New(0, self, 5), rank, 60)
	}
	require.Less(t, all, 69*60/8)
}

// Guards against a part that a node never claims again after an announcement that no
// record of the log confirms, as of a faulty node.
func TestAnnouncementThatTheLogRefutes(t *testing.T) {
	now := time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)
	for _, absurd := range []term.Record{
		{Holder: "x", Incarnation: 1, Number: 1, Generation: math.MaxUint64},
		{Holder: "x", Incarnation: 1, Number: 1, Generation: 1},
	} {
		state := term.New(0, "a", 1, term.WithFirstGeneration(1))
		state.Observe(now, absurd, math.MaxInt64, absurd.Generation)
		now = now.Add(time.Minute)
		a := state.Next(now, 0, 0)
		require.Equal(t, term.Append, a.Kind)
		state.Begin(now, a)
		state.Appended(now, 0, 1, term.Conflict)
		a = state.Next(now, 0, 0)
		require.Equal(t, term.Read, a.Kind)
		state.Begin(now, a)
		state.Refreshed(now, term.Record{}, 0, 1, nil)
		a = state.Next(now, 0, 0)
		require.Equal(t, term.Append, a.Kind)
		require.Zero(t, a.At)
	}
}
