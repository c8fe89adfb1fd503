package program

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/papayapath/papayapath/internal/document"
	"github.com/papayapath/papayapath/internal/lab/optimum"
	"github.com/papayapath/papayapath/internal/lab/overload"
)

// overloadCommand runs a load in virtual time and compares its worth with the
// limit.
type overloadCommand struct {
	pattern  overload.Pattern
	pooled   bool
	arrival  bool
	seed     uint64
	warmUp   time.Duration
	measured time.Duration
}

// Name returns the name of the subcommand.
func (*overloadCommand) Name() string { return "overload" }

// Synopsis describes the subcommand in one line.
func (*overloadCommand) Synopsis() string {
	return "run a load in virtual time and compare its worth with the limit"
}

// Usage describes the arguments.
func (*overloadCommand) Usage() string {
	return "overload [flags] FILE\n" +
		"Read a deployment with its classes of requests from FILE, as \"lab limit\" does, run it\n" +
		"with the decisions of nodes on the platform, and print its worth and the limit.\n"
}

// SetFlags declares the arguments.
func (c *overloadCommand) SetFlags(f *flag.FlagSet) {
	f.Float64Var(&c.pattern.Load, "load", 1, "load relative to the stated rates")
	f.IntVar(&c.pattern.Retries, "returns", 1, "maximum retries by a client")
	f.BoolVar(&c.pattern.ImmediateRetries, "hard", false, "clients retry after 50 ms, whatever the response")
	f.StringVar(&c.pattern.SlowService, "slow", "", "service with a slow server")
	f.Float64Var(&c.pattern.SlowFactor, "slow-by", 4, "factor applied to the run times of the slow server")
	f.StringVar(&c.pattern.SheddingService, "grey", "", "service with a server that sheds requests")
	f.Float64Var(&c.pattern.ShedFraction, "shed", 0.5, "fraction of the requests that it sheds")
	f.IntVar(&c.pattern.SheddingServers, "grey-servers", 1, "number of its servers that do")
	f.DurationVar(&c.pattern.ShedStart, "shed-start", 0, "virtual time from which they do")
	f.DurationVar(&c.pattern.ShedTime, "shed-time", 0, "time for which they do; 0: always")
	f.BoolVar(&c.pooled, "pool", false, "put in force what \"pool\" under contracts in the settings does")
	f.BoolVar(&c.arrival, "order-of-arrival", false, "order requests of one priority beside a server by their arrival, despite -pool")
	f.StringVar(&c.pattern.LimitedService, "limited", "", "service with servers that name a limit in their answers")
	f.IntVar(&c.pattern.LimitedServers, "limited-servers", 1, "number of these servers")
	f.Float64Var(&c.pattern.ServerRate, "server-rate", 10, "requests a second that each of them takes")
	v := &c.pattern.Variation
	f.Func("choice", "how nodes choose servers: by load, outlook or, if they knew it, size", func(name string) (err error) {
		v.Choice, err = overload.ParseChoice(name)
		return err
	})
	f.IntVar(&v.Domains, "domains", 3, "number of failure domains")
	f.Float64Var(&v.Spread, "spread", 0, "deviation of the logarithm of the sizes of requests; 0 is an even spread")
	f.Float64Var(&v.TailShare, "tail", 0, "fraction of the requests, given a spread, that are larger")
	f.Float64Var(&v.TailFactor, "tail-factor", 1, "factor on their sizes")
	f.Float64Var(&v.Wave, "wave", 0, "amplitude of the demand of each failure domain")
	f.Func("speeds", "speeds of the servers of each service, repeated in order", func(list string) error {
		for item := range strings.SplitSeq(list, ",") {
			speed, err := strconv.ParseFloat(item, 64)
			if err != nil {
				return err
			}
			v.Speeds = append(v.Speeds, speed)
		}
		return nil
	})
	f.Uint64Var(&c.seed, "seed", 1, "seed of all random choices")
	f.DurationVar(&c.warmUp, "warm-up", 5*time.Second, "virtual time before the measurement")
	f.DurationVar(&c.measured, "time", 15*time.Second, "virtual time of the measurement")
}

// Execute runs the load.
func (c *overloadCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return status(c.run(f.Args()))
}

func (c *overloadCommand) run(files []string) error {
	switch {
	case len(files) != 1:
		return &usageError{flag: "FILE", reason: "one scenario file is needed"}
	case c.pattern.Load <= 0:
		return &usageError{flag: "load", reason: "must be positive"}
	case c.warmUp < 0 || c.measured <= 0:
		return &usageError{flag: "time", reason: "must be positive"}
	}
	s, err := document.Load[optimum.Scenario](files[0])
	if err != nil {
		return err
	}
	limit, err := c.pattern.Limit(&s)
	if err != nil {
		return err
	}
	var options []overload.Option
	if c.pooled {
		options = append(options, overload.WithPool())
	}
	if c.arrival {
		options = append(options, overload.WithOrderOfArrival())
	}
	world, err := overload.New(&s, c.pattern, c.seed, options...)
	if err != nil {
		return err
	}
	world.Run(c.warmUp)
	world.ResetStatistics()
	world.Run(c.measured)
	figures := world.Statistics()
	if c.pattern.LimitedService != "" {
		if _, err := fmt.Fprintf(os.Stdout, "most requests in 4 s at a server with a limit %d\n", figures.MostLimited(4*time.Second)); err != nil {
			return err
		}
	}
	if c.pattern.SheddingService != "" {
		if _, err := fmt.Fprintf(os.Stdout, "retry budget used %.3f\n", world.BudgetUse(c.pattern.SheddingService)); err != nil {
			return err
		}
		for _, class := range s.Classes {
			if class.Rate == 0 {
				continue
			}
			if _, err := fmt.Fprintf(os.Stdout, "%s served in time %.3f\n", class.Name, figures.Served(class.Name)); err != nil {
				return err
			}
		}
	}
	_, err = fmt.Fprintf(os.Stdout, "worth %.3f, limit %.3f, part %.3f\nlate %.3f, refused %.3f, runs wasted %.3f, crossing %.3f\n",
		figures.Worth(), limit, figures.Worth()/limit, figures.LateRatio(), figures.RefusedRatio(), figures.WastedRatio(), figures.CrossingRatio(""))
	return err
}
