package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() { os.Exit(run()) }

// run runs the subcommand of the arguments and returns the exit code.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	commander := subcommands.NewCommander(flag.CommandLine, "lab")
	for _, c := range []subcommands.Command{
		commander.HelpCommand(), commander.FlagsCommand(), commander.CommandsCommand(),
		&logCommand{}, &serverCommand{}, &loadCommand{}, &runCommand{}, &capacityCommand{},
	} {
		commander.Register(c, "")
	}
	flag.Parse()
	return int(commander.Execute(ctx))
}

// status reports an error on standard error and returns the exit code.
func status(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, "lab:", err)
	var usage *usageError
	if errors.As(err, &usage) {
		return subcommands.ExitUsageError
	}
	return subcommands.ExitFailure
}

// usageError reports a wrong argument.
type usageError struct {
	flag   string
	reason string
}

// Error names the argument.
func (e *usageError) Error() string { return fmt.Sprintf("argument -%s: %s", e.flag, e.reason) }
