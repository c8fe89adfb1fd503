package main

import (
	"errors"
	"fmt"
	"os/exec"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"sidecar": main})
}

// Guards against exit codes and messages of commands other than the documented ones, and
// against API keys in what they print.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits": exits,
		},
	})
}

// exits runs a program that has to exit with the code in the first argument.
func exits(ts *testscript.TestScript, _ bool, arguments []string) {
	var failed *exec.ExitError
	err := ts.Exec(arguments[1], arguments[2:]...)
	if !errors.As(err, &failed) || fmt.Sprint(failed.ExitCode()) != arguments[0] {
		ts.Fatalf("%v, and not exit status %s", err, arguments[0])
	}
}
