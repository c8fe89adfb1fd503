package command_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/command"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"papayapath": func() { os.Exit(command.Main(os.Args[1:])) },
	})
}

// ports is the number of free ports that scripts find in PORT0, PORT1, ...
const ports = 5

// Guards against exit codes, messages and effects other than the documented
// ones.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: reservePorts,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"expand": expand,
		},
	})
}

// reservePorts finds ports that are free, so that two runs of the tests at
// the same time do not meet. They lie below those that the operating system gives to
// outgoing connections, one of which could take a port before the script does.
func reservePorts(e *testscript.Env) error {
	const lowest, highest, attempts = 12_000, 32_000, 100
	found := 0
	for range attempts {
		port := lowest + rand.IntN(highest-lowest)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer func() { _ = listener.Close() }()
		e.Setenv(fmt.Sprintf("PORT%d", found), fmt.Sprint(port))
		if found++; found == ports {
			return nil
		}
	}
	return fmt.Errorf("only %d of %d ports are free", found, ports)
}

// expand replaces variables of the environment in a file.
func expand(ts *testscript.TestScript, _ bool, arguments []string) {
	for _, file := range arguments {
		text := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}

// Guards against a program that starts without its commands.
func TestUnknownCommand(t *testing.T) {
	require.Equal(t, 2, command.Main([]string{"no-such-command"}))
}
