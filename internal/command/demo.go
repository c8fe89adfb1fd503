package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/sourcegraph/conc"

	"github.com/papayapath/papayapath/internal/lab/deployment"
	"github.com/papayapath/papayapath/internal/lab/experiment"
	"github.com/papayapath/papayapath/internal/lab/mesh"
	"github.com/papayapath/papayapath/internal/lab/report"
)

// progressInterval is the time between two updates of the progress line.
const progressInterval = 500 * time.Millisecond

// demo runs the experiment on both deployments and variants in this process.
type demo struct {
	format string
	plot   string
	seed   uint64
}

func (*demo) Name() string     { return "demo" }
func (*demo) Synopsis() string { return "compare papayapath with a naive proxy under overload" }

func (*demo) Usage() string {
	return `demo [-format table|json] [-report FILE] [-seed N]
Run two deployments on loopback sockets, slow a service deep in their call
chains while demand surges, and print what became of the callers' requests,
with papayapath and with a naive proxy. Takes about a minute.
`
}

func (d *demo) SetFlags(f *flag.FlagSet) {
	f.StringVar(&d.format, "format", "table", "table or json")
	f.StringVar(&d.plot, "report", "", "write plots of the runs to this PNG file")
	f.Uint64Var(&d.seed, "seed", 1, "seed of the arrivals and the run times")
}

func (d *demo) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	s := streams(args)
	if err := noArguments(f); err != nil {
		return exit(s, err)
	}
	return exit(s, d.run(ctx, s))
}

func (d *demo) run(ctx context.Context, s Streams) error {
	if d.format != "table" && d.format != "json" {
		return &UsageError{reason: fmt.Sprintf("format %q is neither table nor json", d.format)}
	}
	finished := showProgress(s.Err)
	figures, err := experiment.All(ctx, deployment.All(),
		[]experiment.Variant{mesh.Variant(), experiment.Naive()}, experiment.WithSeed(d.seed))
	finished()
	if err != nil {
		return err
	}
	r := report.New(figures)
	if err := d.writePlot(r); err != nil {
		return err
	}
	if d.format == "json" {
		return r.JSON(s.Out)
	}
	return r.Table(s.Out)
}

func (d *demo) writePlot(r *report.Report) error {
	if d.plot == "" {
		return nil
	}
	file, err := os.Create(d.plot)
	if err != nil {
		return err
	}
	if err := r.PNG(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

// showProgress shows the elapsed time on one line of w until the returned
// function is called.
func showProgress(w io.Writer) (finished func()) {
	start := time.Now()
	done := make(chan struct{})
	var task conc.WaitGroup
	task.Go(func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				_, _ = fmt.Fprintf(w, "\rregie and nilegear, papayapath and naive: %2.0f s of about 40 s", now.Sub(start).Seconds())
			case <-done:
				_, _ = fmt.Fprintln(w)
				return
			}
		}
	})
	return func() {
		close(done)
		task.Wait()
	}
}
