package exchange_test

import (
	"bytes"
	"io"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/exchange"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

func whole(body []byte) *message.Answer {
	return &message.Answer{Outcome: outcome.Complete, Length: int64(len(body)), Digest: xxhash.Sum64(body)}
}

// Guards against a body that stops early or changes on its way being passed
// on as a whole answer.
func TestCheckOfDamagedBodies(t *testing.T) {
	sent := []byte("availability of face 12")
	for name, received := range map[string][]byte{
		"whole":   sent,
		"cut":     sent[:9],
		"changed": []byte("availability of face 13"),
		"empty":   {},
	} {
		t.Run(name, func(t *testing.T) {
			e := exchange.New(nil)
			require.True(t, e.Begin(1))
			require.NoError(t, e.Start(1, &message.Head{Status: 200}))
			require.NoError(t, e.Data(1, received))
			a := whole(sent)
			e.Check(1, a)
			require.Equal(t, name == "whole", a.Outcome == outcome.Complete)
			e.Finish(a)
			got := <-e.Result()
			require.Equal(t, name == "whole", got.Body != nil)
		})
	}
}

// Guards against pieces of a late answer of attempt 1 reaching the caller as
// part of attempt 2.
func TestLateAttemptIsRefused(t *testing.T) {
	e := exchange.New(nil)
	require.True(t, e.Begin(1))
	require.NoError(t, e.Start(1, &message.Head{}))
	require.NoError(t, e.Data(1, []byte("old")))
	require.True(t, e.Begin(2))
	require.NoError(t, e.Start(2, &message.Head{}))
	var want *exchange.StaleError
	require.ErrorAs(t, e.Data(1, []byte("late")), &want)
	require.ErrorAs(t, e.Start(1, &message.Head{}), &want)
	require.NoError(t, e.Data(2, []byte("new")))
	a := whole([]byte("new"))
	e.Check(2, a)
	e.Finish(a)
	require.Equal(t, "new", string((<-e.Result()).Body))
}

// Guards against a long answer that breaks off looking whole to its caller,
// and against another attempt's body following it.
func TestLongAnswerThatBreaksOff(t *testing.T) {
	for _, broken := range []bool{false, true} {
		e := exchange.New(nil)
		require.True(t, e.Begin(1))
		require.NoError(t, e.Start(1, &message.Head{}))
		body := bytes.Repeat([]byte("proof"), message.MaxBufferedBytes/2)
		go func() {
			for start := 0; start < len(body); start += message.ChunkBytes {
				_ = e.Data(1, body[start:min(start+message.ChunkBytes, len(body))])
			}
			a := whole(body)
			if broken {
				a = &message.Answer{Outcome: outcome.Unknown}
			}
			e.Check(1, a)
			e.Finish(a)
		}()
		got, err := io.ReadAll((<-e.Result()).Stream)
		require.False(t, e.Begin(2))
		if broken {
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			continue
		}
		require.NoError(t, err)
		require.True(t, bytes.Equal(body, got))
	}
}
