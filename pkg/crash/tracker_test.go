package crash_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/crash"
	"github.com/papayapath/papayapath/pkg/quarantine"
	"github.com/papayapath/papayapath/pkg/readiness"
)

var (
	origin = time.Unix(1_790_000_000, 0)
	first  = readiness.Incarnation{ID: "i-1", Born: 1}
	second = readiness.Incarnation{ID: "i-1", Born: 2}
	a, b   = quarantine.Request{Content: 1}, quarantine.Request{Content: 2}
)

func after(ms int) time.Time { return origin.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a crash for which only requests of the last two seconds count, or those
// of an earlier start of the server, and against one that counts twice.
func TestCrashIsThatOfOneStart(t *testing.T) {
	var c crash.Tracker
	c.Break(after(0), first, a)
	c.Break(after(5), first, a)
	c.Break(after(10), second, b)
	require.Equal(t, []quarantine.Request{a}, c.Crash(after(4500), first))
	require.Empty(t, c.Crash(after(4600), first))
	require.Equal(t, []quarantine.Request{b}, c.Crash(after(4700), second))
}

// Guards against a lost answer that counts for a crash much later, though the server has
// answered on the same connections since, and against an answer of a server that started
// after the crash and hides it.
func TestAnswersShowThatTheServerLives(t *testing.T) {
	for name, x := range map[string]struct {
		opened, sent int
		counts       bool
	}{
		"connection outlives the break":         {opened: 0, sent: 20, counts: false},
		"request was sent before the break":     {opened: 0, sent: 5, counts: true},
		"connection was opened after the break": {opened: 15, sent: 20, counts: true},
	} {
		t.Run(name, func(t *testing.T) {
			var c crash.Tracker
			c.Break(after(10), first, a)
			c.Answer(after(x.opened), after(x.sent))
			require.Equal(t, x.counts, len(c.Crash(after(100), first)) == 1)
		})
	}
}

// Guards against executions that are kept without end, and against the newest ones being
// dropped in place of the oldest.
func TestBreaksExpire(t *testing.T) {
	var c crash.Tracker
	c.Break(after(0), first, a)
	c.Break(after(1000), first, b)
	require.Equal(t, []quarantine.Request{b}, c.Crash(after(30_500), first))
	const many = 10_000
	for i := range many {
		c.Break(after(0), first, quarantine.Request{Content: uint64(i)})
	}
	inFlight := c.Crash(after(1), first)
	require.Less(t, len(inFlight), many)
	require.Contains(t, inFlight, quarantine.Request{Content: many - 1})
}

// Guards against an announced end that counts as a crash.
func TestAnnouncedEndIsForgotten(t *testing.T) {
	var c crash.Tracker
	c.Break(after(0), first, a)
	c.Break(after(0), second, b)
	c.Forget(first)
	require.Empty(t, c.Crash(after(1), first))
	require.Len(t, c.Crash(after(1), second), 1)
}
