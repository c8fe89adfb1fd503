package command

import (
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"
)

// Exit codes, besides those of package subcommands: 0 for success, 1 for a
// failure and 2 for wrong usage.
const (
	ExitConflict subcommands.ExitStatus = 3 // another operator's change came first
	ExitUnknown  subcommands.ExitStatus = 4 // it is not known whether a change was accepted
)

// Streams are the outputs of a command.
type Streams struct {
	Out io.Writer // results
	Err io.Writer // progress and errors
}

// Register adds all commands to c.
func Register(c *subcommands.Commander) {
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	c.Register(c.CommandsCommand(), "")
	c.Register(&version{}, "")
	c.Register(&check{}, "declaring")
	c.Register(&plan{}, "declaring")
	c.Register(&publish{}, "declaring")
	c.Register(&watch{}, "declaring")
	c.Register(&nodeCommand{}, "running")
	c.Register(&demo{}, "running")
	c.Register(&status{}, "operating")
	c.Register(&drain{}, "operating")
	c.Register(&keysCommand{}, "operating")
}

// streams returns the outputs that main passed to Execute.
func streams(args []any) Streams {
	if len(args) == 1 {
		if s, ok := args[0].(Streams); ok {
			return s
		}
	}
	panic(panicStreams)
}

// panicStreams is the text of the panic for a commander that is executed
// without Streams.
const panicStreams = "command: Execute needs Streams as its only argument"

// exit prints err and returns the exit code that it stands for.
func exit(s Streams, err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	_, _ = fmt.Fprintln(s.Err, "papayapath:", err)
	var coded interface{ Status() subcommands.ExitStatus }
	if errors.As(err, &coded) {
		return coded.Status()
	}
	return subcommands.ExitFailure
}

// UsageError reports arguments that a command can't use.
type UsageError struct{ reason string }

// Error gives the reason.
func (e *UsageError) Error() string { return e.reason }

// Status returns the exit code for wrong usage.
func (e *UsageError) Status() subcommands.ExitStatus { return subcommands.ExitUsageError }

// noArguments returns a *UsageError if there are arguments besides flags.
func noArguments(f *flag.FlagSet) error {
	if f.NArg() > 0 {
		return &UsageError{reason: fmt.Sprintf("unexpected argument %q", f.Arg(0))}
	}
	return nil
}
