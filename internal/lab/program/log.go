package program

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"github.com/papayapath/papayapath/internal/lab/logserver"
	"github.com/papayapath/papayapath/internal/lab/loopback"
)

// anyPort is a loopback address with a free port chosen by the operating
// system.
const anyPort = "127.0.0.1:0"

// logCommand runs a simulated platform log.
type logCommand struct {
	listen string
	rate   int
	count  int
	age    time.Duration
}

// Name returns the name of the subcommand.
func (*logCommand) Name() string { return "log" }

// Synopsis describes the subcommand in one line.
func (*logCommand) Synopsis() string { return "serve a platform log" }

// Usage describes the arguments.
func (*logCommand) Usage() string {
	return "log [-listen ADDRESS] [-rate N] [-count N] [-age D]\n" +
		"Serve a platform log until interrupted. POST /faults changes its behavior.\n"
}

// SetFlags declares the arguments.
func (c *logCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", anyPort, "loopback address and port")
	f.IntVar(&c.rate, "rate", logserver.DefaultRate, "maximum appends per second")
	f.IntVar(&c.count, "count", logserver.DefaultCount, "maximum records per stream")
	f.DurationVar(&c.age, "age", logserver.DefaultAge, "maximum age of a record")
}

// Execute runs the log until ctx ends.
func (c *logCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	listener, err := loopback.ListenAt(c.listen)
	if err != nil {
		return status(err)
	}
	fmt.Println(listener.Address())
	log := logserver.New(logserver.WithRate(c.rate), logserver.WithRetention(c.count, c.age))
	return status(log.Serve(ctx, listener))
}
