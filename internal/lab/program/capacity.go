package program

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/papayapath/papayapath/internal/lab/capacity"
)

// capacityCommand measures the growth rates in docs/CAPACITY.md.
type capacityCommand struct{ format string }

// Name returns the name of the subcommand.
func (*capacityCommand) Name() string { return "capacity" }

// Synopsis describes the subcommand in one line.
func (*capacityCommand) Synopsis() string {
	return "measure how messages, memory and time grow with the system"
}

// Usage describes the arguments.
func (*capacityCommand) Usage() string {
	return "capacity [-format table|json]\n" +
		"Measure each quantity at four or more sizes and fit a line to it, in at most 90 s.\n"
}

// SetFlags declares the arguments.
func (c *capacityCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.format, "format", "table", "table or json")
}

// Execute runs the measurements.
func (c *capacityCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return status(c.measure(ctx))
}

func (c *capacityCommand) measure(ctx context.Context) error {
	if c.format != "table" && c.format != "json" {
		return &usageError{flag: "format", reason: "neither table nor json"}
	}
	r, err := capacity.Measure(ctx)
	if err != nil {
		return err
	}
	if c.format == "json" {
		return r.JSON(os.Stdout)
	}
	return r.Table(os.Stdout)
}
