package command_test

import (
	"context"
	"errors"
	"os/exec"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/lab/logserver"
	"github.com/papayapath/papayapath/internal/lab/loopback"
)

// Guards against outcomes and exit codes of publishing other than the
// documented ones, over the HTTP of a log.
func TestPublishingScripts(t *testing.T) {
	commands := map[string]func(*testscript.TestScript, bool, []string){"exits": exits}
	testscript.Run(t, testscript.Params{Dir: "testdata/publishing", Cmds: commands, Setup: func(e *testscript.Env) error {
		listener, err := loopback.Listen()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- logserver.New().Serve(ctx, listener) }()
		e.Defer(func() {
			cancel()
			require.NoError(t, <-done)
		})
		e.Setenv("PAPAYAPATH_LOG", "http://"+listener.Address())
		e.Setenv("PAPAYAPATH_OPERATOR", "anna")
		return nil
	}})
}

// exits is the script command "exits CODE PROGRAM ARGUMENT...", which fails
// unless the program ends with the exit code.
func exits(ts *testscript.TestScript, _ bool, args []string) {
	got := 0
	var failed *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &failed) {
		got = failed.ExitCode()
	} else {
		ts.Check(err)
	}
	if want := args[0]; want != strconv.Itoa(got) {
		ts.Fatalf("exit code is %d, want %s", got, want)
	}
}
