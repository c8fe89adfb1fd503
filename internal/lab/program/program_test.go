package program_test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/lab/program"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"lab": func() { os.Exit(program.Main(os.Args[1:])) }})
}

// Guards against exit codes and messages that differ from the documented ones.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata"})
}

// Guards against a server that continues after an interrupt. The test cancels
// the context instead of sending a signal, which would be lost if it arrived
// before the program listens for it.
func TestServersStopWithContext(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	for _, arguments := range [][]string{
		{"log"},
		{"server", "-node", "127.0.0.1:1", "-deployment", "regie", "-service", "calendars"},
	} {
		require.Zero(t, program.Run(ctx, arguments), arguments)
	}
}
