package command_test

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/papayapath/papayapath/internal/command"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"papayapath": func() { os.Exit(command.Main(os.Args[1:])) },
	})
}

// Guards against exit codes, messages and effects other than the documented
// ones.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata"})
}
