package program

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/papayapath/papayapath/platform/score"
)

// accountCommand prints what the days of a run on the users' bench have earned
// and lost.
type accountCommand struct{}

// Name returns the name of the subcommand.
func (*accountCommand) Name() string { return "account" }

// Synopsis describes the subcommand in one line.
func (*accountCommand) Synopsis() string {
	return "account for what days on the users' bench have earned and lost"
}

// Usage describes the arguments.
func (*accountCommand) Usage() string {
	return "account FILE...\n" +
		"Print a table for each entry of the journal: worth, mark, served, refused and\n" +
		"failed requests, parts of the credit, and prices by kind, for each day.\n"
}

// SetFlags declares no flags.
func (*accountCommand) SetFlags(*flag.FlagSet) {}

// Execute prints the tables.
func (c *accountCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return status(c.print(f.Args()))
}

func (*accountCommand) print(files []string) error {
	if len(files) == 0 {
		return &usageError{flag: "FILE", reason: "at least one journal entry is needed"}
	}
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		s, err := score.Decode(data)
		if err != nil {
			return err
		}
		if err := s.WriteTable(os.Stdout); err != nil {
			return err
		}
	}
	return nil
}
