package journal_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/journal"
)

// output is a writer that blocks while its mutex is held.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// Guards against an unbounded rate of lines under load, and against omitting
// lines without stating their number.
func TestWriteSampledCountsOmittedLines(t *testing.T) {
	o := &output{}
	j := journal.New(o, logrus.Fields{"node": "n1"})
	now := time.Unix(1000, 0)
	fields := func() logrus.Fields { return logrus.Fields{"request": "r"} }
	for range 100 {
		j.WriteSampled(now, event.RequestRefused, fields)
	}
	j.WriteSampled(now, event.RequestOutcomeUnknown, fields)
	j.WriteSampled(now.Add(time.Second), event.RequestRefused, fields)
	j.Flush(time.Second)
	text := o.String()
	require.Equal(t, 4, strings.Count(text, `"event":651`))
	require.Equal(t, 1, strings.Count(text, `"event":652`))
	require.Contains(t, text, `"omitted":97`)
	require.Equal(t, 5, strings.Count(text, `"node":"n1"`))
}

// Guards against a node that blocks because its standard output is not read.
func TestWriteNeverBlocks(t *testing.T) {
	o := &output{}
	o.mu.Lock()
	defer o.mu.Unlock()
	j := journal.New(o, logrus.Fields{})
	done := make(chan struct{})
	go func() {
		for range 10_000 {
			j.Write(event.SettingsReloaded, logrus.Fields{"detail": strings.Repeat("x", 100)})
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		require.Fail(t, "Write blocks")
	}
}
