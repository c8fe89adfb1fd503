// Command papayapath runs and operates the nodes of an overload control layer.
//
// Run "papayapath help" for the list of commands. Exit codes are listed in
// docs/commands.md.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/papayapath/papayapath/internal/command"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	flags := flag.NewFlagSet("papayapath", flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "papayapath")
	command.Register(commander)
	if err := flags.Parse(os.Args[1:]); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(ctx, command.Streams{Out: os.Stdout, Err: os.Stderr}))
}
