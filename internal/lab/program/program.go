package program

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

// Main runs the program with the given arguments and returns its exit code.
// SIGINT and SIGTERM end a command gracefully.
func Main(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Run(ctx, arguments)
}

// Run runs the program until it completes or ctx ends, and returns its exit
// code.
func Run(ctx context.Context, arguments []string) int {
	flags := flag.NewFlagSet("lab", flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "lab")
	for _, c := range []subcommands.Command{
		commander.HelpCommand(), commander.FlagsCommand(), commander.CommandsCommand(),
		&logCommand{}, &serverCommand{}, &loadCommand{}, &runCommand{}, &capacityCommand{}, &limitCommand{}, &overloadCommand{}, &accountCommand{}, &soakCommand{},
	} {
		commander.Register(c, "")
	}
	if err := flags.Parse(arguments); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(ctx))
}

// status writes an error to standard error and returns the exit code.
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

// usageError reports an invalid argument.
type usageError struct {
	flag   string
	reason string
}

// Error returns the argument and the reason.
func (e *usageError) Error() string { return fmt.Sprintf("argument -%s: %s", e.flag, e.reason) }
