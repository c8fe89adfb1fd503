package program

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/papayapath/papayapath/internal/lab/answer"
	"github.com/papayapath/papayapath/internal/lab/deployment"
	"github.com/papayapath/papayapath/internal/lab/history"
	"github.com/papayapath/papayapath/internal/lab/load"
	"github.com/papayapath/papayapath/internal/lab/loopback"
)

// responseGrace is how long to wait for responses after the last request. No
// attempt of a deployment takes longer.
const responseGrace = 2200 * time.Millisecond

// loadCommand generates the load of a deployment.
type loadCommand struct {
	deployment string
	entries    string
	seed       uint64
	duration   time.Duration
	factor     float64
	aggressive bool
}

// Name returns the name of the subcommand.
func (*loadCommand) Name() string { return "load" }

// Synopsis describes the subcommand in one line.
func (*loadCommand) Synopsis() string { return "send the load of a deployment to entries" }

// Usage describes the arguments.
func (*loadCommand) Usage() string {
	return "load -entries ADDRESS[,ADDRESS...] [-deployment NAME] [-duration D] [-factor X] [-hard] [-seed N]\n" +
		"Send the load of a deployment and print a summary of the results.\n"
}

// SetFlags declares the arguments.
func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.deployment, "deployment", "regie", "regie or nilegear")
	f.StringVar(&c.entries, "entries", "", "loopback HTTP addresses of nodes for callers, separated by commas")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the arrivals")
	f.DurationVar(&c.duration, "duration", 10*time.Second, "duration of the arrivals")
	f.Float64Var(&c.factor, "factor", 1, "load relative to the normal load")
	f.BoolVar(&c.aggressive, "hard", false, "clients retry failed requests almost immediately")
}

// Execute generates the load.
func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return status(c.send(ctx))
}

func (c *loadCommand) send(ctx context.Context) error {
	d, err := deployment.ByName(c.deployment)
	if err != nil {
		return &usageError{flag: "deployment", reason: err.Error()}
	}
	entries := strings.Split(c.entries, ",")
	for _, e := range entries {
		if err := loopback.CheckAddress(e); err != nil {
			return &usageError{flag: "entries", reason: err.Error()}
		}
	}
	if c.factor <= 0 {
		return &usageError{flag: "factor", reason: "must be positive"}
	}
	loadCtx, cancelLoad := context.WithTimeout(ctx, c.duration+responseGrace)
	defer cancelLoad()
	arrivalCtx, stopArrivals := context.WithTimeout(loadCtx, c.duration)
	defer stopArrivals()
	h := history.New()
	g := load.New(c.seed, entries, h, d.Customers()...)
	g.SetLoad(c.factor, c.aggressive)
	g.Run(loadCtx, arrivalCtx)
	return printSummary(h)
}

// printSummary prints the number of requests by result.
func printSummary(h *history.History) error {
	complete, inTime, sends := 0, 0, 0
	for _, r := range h.Requests() {
		sends += r.Attempts
		if r.Complete() {
			complete++
		}
		if r.InTime() {
			inTime++
		}
	}
	_, err := fmt.Fprintf(os.Stdout, "requests %d\nsends %d\nwhole answers %d\nin time %d\nrefusals for overload %d\npartial answers %d\nanswers of others %d\n",
		len(h.Requests()), sends, complete, inTime, len(h.Refusals()), h.VerdictCount(answer.Partial), h.VerdictCount(answer.Foreign))
	return err
}
