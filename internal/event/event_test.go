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

// Guards against a catalogue page that differs from the code in the set of
// events or in the number, level or text of one.
func TestCatalogue(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "events.md"))
	require.NoError(t, err)
	var documented []string
	for _, line := range strings.Split(string(page), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) == 7 && strings.ContainsAny(cells[1], "0123456789") {
			require.NotEmpty(t, strings.TrimSpace(cells[4]), line)
			require.NotEmpty(t, strings.TrimSpace(cells[5]), line)
			documented = append(documented, strings.TrimSpace(cells[1])+" "+strings.TrimSpace(cells[2])+" "+strings.TrimSpace(cells[3]))
		}
	}
	var defined []string
	for _, e := range event.All() {
		defined = append(defined, fmt.Sprintf("%d %s %s", e.Number(), e.Level(), e.Text()))
	}
	require.Equal(t, defined, documented)
}

// Guards against a log line without the number that alerts match.
func TestLog(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.JSONFormatter{DisableTimestamp: true})
	event.RecordRejected.Log(log, logrus.Fields{"detail": "x"})
	require.JSONEq(t, `{"event":210,"level":"warning","msg":"record of declarations rejected","detail":"x"}`, out.String())
}
