package main

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/google/subcommands"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"
)

// The tests run the program itself, which is why they are inside the package
// main.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"lab": func() { os.Exit(run()) }})
}

// Guards against exit codes and messages other than the documented ones.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata"})
}

// Guards against a stand-in that goes on after its interrupt. The context
// takes the place of the signal, which would be lost if it came before the
// program listens for it.
func TestStandInsEndWithContext(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	for _, c := range []subcommands.Command{
		&logCommand{listen: anyPort, rate: 1, count: 1, age: time.Hour},
		&serverCommand{listen: anyPort, node: "127.0.0.1:1", deployment: "regie", service: "calendars"},
	} {
		require.Equal(t, subcommands.ExitSuccess, c.Execute(ctx, nil), c.Name())
	}
}
