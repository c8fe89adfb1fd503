// Command sidecar runs a node as the sidecar of a backend server on the
// platform.
//
// Without arguments it runs the node with the settings file that the platform
// provides. "sidecar help" lists the other commands.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	args := os.Args[1:]
	if len(args) == 0 {
		args = []string{nodeCommandName}
	}
	flags := flag.NewFlagSet("sidecar", flag.ExitOnError)
	c := subcommands.NewCommander(flags, "sidecar")
	c.Register(c.HelpCommand(), "")
	c.Register(&nodeCommand{}, "")
	c.Register(&checkCommand{out: os.Stdout}, "")
	c.Register(&checkConfigurationCommand{out: os.Stdout}, "")
	c.Register(&versionCommand{out: os.Stdout}, "")
	flags.Parse(args) //nolint:errcheck // the flag set exits on an error
	os.Exit(int(c.Execute(context.Background())))
}
