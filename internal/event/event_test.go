package event_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/event"
)

// Guards against a catalogue that operators can't rely on: an event that is
// missing, left over, or has another number, level or text than the code.
func TestCatalogue(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "events.md"))
	require.NoError(t, err)
	var listed []string
	for _, line := range strings.Split(string(page), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) == 7 && strings.ContainsAny(cells[1], "0123456789") {
			require.NotEmpty(t, strings.TrimSpace(cells[4]), line)
			require.NotEmpty(t, strings.TrimSpace(cells[5]), line)
			listed = append(listed, strings.TrimSpace(cells[1])+" "+strings.TrimSpace(cells[2])+" "+strings.TrimSpace(cells[3]))
		}
	}
	var known []string
	for _, e := range event.All() {
		known = append(known, fmt.Sprintf("%d %s %s", e.Number(), e.Level(), e.Text()))
	}
	require.Equal(t, known, listed)
}

// Guards against a log line without the number that alerts look for.
func TestLog(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.JSONFormatter{DisableTimestamp: true})
	event.RecordRejected.Log(log, logrus.Fields{"detail": "x"})
	require.JSONEq(t, `{"event":210,"level":"warning","msg":"record of declarations rejected","detail":"x"}`, out.String())
}
