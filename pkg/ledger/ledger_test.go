package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/ledger"
	"github.com/papayapath/papayapath/pkg/message"
)

var (
	start  = time.UnixMilli(1_800_000_000_000)
	answer = &message.Answer{Header: []message.Field{{Name: "A", Value: "b"}}}
)

func offer(key string) *message.Offer { return &message.Offer{Key: key, Customer: "giza", Content: 1} }

func requireState(t *testing.T, want ledger.State, l *ledger.Ledger, now time.Time, key string, issued time.Time) {
	t.Helper()
	require.Equal(t, want.String(), l.Find(now, offer(key), issued).String())
}

// Guards against a key that is taken for a new one in any state.
func TestStates(t *testing.T) {
	l := ledger.New(ledger.WithBody(4))
	run := l.Begin(offer("k"), start)
	requireState(t, ledger.Running, l, start, "k", start)
	require.True(t, l.Unknown(run))
	requireState(t, ledger.Doubtful, l, start, "k", start)
	require.False(t, l.NotRun(run), "a run in doubt stays in doubt")
	require.True(t, l.Done(run, answer, []byte("body")))
	requireState(t, ledger.Done, l, start, "k", start)
	require.False(t, l.Unknown(run))
	kept, body := l.Answer("k")
	require.Same(t, answer, kept)
	require.Equal(t, "body", string(body))
	l.Done(l.Begin(offer("large"), start), answer, []byte("large"))
	requireState(t, ledger.Bodiless, l, start, "large", start)
	other := *offer("k")
	other.Content = 2
	require.Equal(t, ledger.Mismatch, l.Find(start, &other, start))
}

// Guards against a late report on a first run that ends the second run.
func TestTicketOfEarlierRun(t *testing.T) {
	l := ledger.New()
	first := l.Begin(offer("k"), start)
	require.True(t, l.NotRun(first))
	l.Begin(offer("k"), start)
	require.False(t, l.NotRun(first))
	require.False(t, l.Done(first, answer, nil))
	requireState(t, ledger.Running, l, start, "k", start)
}

// Guards against a key that runs again after its record was dropped, also
// when a contract later allows older keys.
func TestWindow(t *testing.T) {
	l := ledger.New(ledger.WithWindow(time.Minute))
	l.Done(l.Begin(offer("k"), start), answer, nil)
	requireState(t, ledger.Done, l, start.Add(time.Minute-1), "k", start)
	later := start.Add(time.Minute)
	requireState(t, ledger.Passed, l, later, "k", start)
	require.Zero(t, l.Len())
	require.Zero(t, l.Bytes())
	l.SetWindow(later, time.Hour)
	requireState(t, ledger.Passed, l, later, "k", start)
	requireState(t, ledger.Passed, l, start, "k", start)
	requireState(t, ledger.Absent, l, later, "new", start.Add(1))
}

// Guards against unbounded memory, and against a key that is dropped inside
// its window to make room.
func TestBounds(t *testing.T) {
	l := ledger.New(ledger.WithKeys(100), ledger.WithBytes(10))
	for i := range 100 {
		key := fmt.Sprint(i)
		requireState(t, ledger.Absent, l, start, key, start)
		l.Done(l.Begin(offer(key), start), answer, []byte("12"))
	}
	require.LessOrEqual(t, l.Bytes(), 10)
	requireState(t, ledger.Full, l, start, "new", start)
	requireState(t, ledger.Done, l, start, "0", start)
	requireState(t, ledger.Bodiless, l, start, "99", start)
	requireState(t, ledger.Absent, l, start.Add(ledger.DefaultWindow), "new", start.Add(time.Second))
}
