package command

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// Main runs the program with the given arguments and returns its exit code.
// SIGINT and SIGTERM end a command gracefully.
func Main(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	flags := flag.NewFlagSet("papayapath", flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "papayapath")
	Register(commander)
	if err := flags.Parse(arguments); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(ctx, Streams{Out: os.Stdout, Err: os.Stderr}))
}
