package program

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/papayapath/papayapath/internal/document"
	"github.com/papayapath/papayapath/internal/lab/optimum"
)

// limitCommand computes the maximum worth of a deployment at a given load.
type limitCommand struct{ load float64 }

// Name returns the name of the subcommand.
func (*limitCommand) Name() string { return "limit" }

// Synopsis describes the subcommand in one line.
func (*limitCommand) Synopsis() string {
	return "compute the maximum worth that the slots of a deployment allow"
}

// Usage describes the arguments.
func (*limitCommand) Usage() string {
	return "limit [-load X] FILE\n" +
		"Read a deployment with its classes of requests from FILE, JSON with comments, and\n" +
		"print the optimum at X times the stated rates, and the utilization of each service.\n"
}

// SetFlags declares the arguments.
func (c *limitCommand) SetFlags(f *flag.FlagSet) {
	f.Float64Var(&c.load, "load", 1, "load relative to the stated rates")
}

// Execute computes the limit.
func (c *limitCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return status(c.solve(f.Args()))
}

func (c *limitCommand) solve(files []string) error {
	if len(files) != 1 {
		return &usageError{flag: "FILE", reason: "one scenario file is needed"}
	}
	if c.load <= 0 {
		return &usageError{flag: "load", reason: "must be positive"}
	}
	s, err := document.Load[optimum.Scenario](files[0])
	if err != nil {
		return err
	}
	o, err := optimum.Solve(&s, c.load)
	if err != nil {
		return err
	}
	return o.WriteTable(os.Stdout)
}
