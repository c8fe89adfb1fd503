package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"

	"github.com/papayapath/papayapath/internal/publication"
	"github.com/papayapath/papayapath/pkg/declarations"
	"github.com/papayapath/papayapath/pkg/message"
)

// watch shows changes of the contracts as they come into force.
type watch struct {
	log    logFlags
	record string
}

func (*watch) Name() string     { return "watch" }
func (*watch) Synopsis() string { return "show changes as they come into force" }

func (*watch) Usage() string {
	return `watch [-log URL] [-record ID]
Print the outcome of each change in the log, and of new ones until interrupted.
With -record, wait for this record within the time limit, and exit like publish.
`
}

func (w *watch) SetFlags(f *flag.FlagSet) {
	w.log.set(f)
	f.StringVar(&w.record, "record", "", "id of the only record to look for")
}

func (w *watch) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	s := streams(args)
	if err := noArguments(f); err != nil {
		return exit(s, err)
	}
	publisher, limited, cancel, err := w.log.open(ctx)
	if err != nil {
		return exit(s, err)
	}
	defer cancel()
	results, err := publisher.Read(limited)
	if err != nil {
		return exit(s, err)
	}
	if w.record != "" {
		return exitPublication(s, w.find(limited, s, publisher, results))
	}
	return exit(s, w.follow(ctx, s, publisher, results))
}

func (w *watch) find(ctx context.Context, s Streams, p *publication.Publisher, results []declarations.Result) error {
	for _, r := range results {
		if r.Record == w.record {
			return showOutcome(s, r)
		}
	}
	position, err := p.Find(ctx, w.record)
	if err == nil {
		_, _ = fmt.Fprintln(s.Out, position, "accepted", w.record)
	}
	return err
}

func (w *watch) follow(ctx context.Context, s Streams, p *publication.Publisher, results []declarations.Result) error {
	var err error
	for err == nil {
		for _, r := range results {
			if r.Change != nil || r.Err != nil {
				_ = showOutcome(s, r)
			}
		}
		results, err = p.Follow(ctx)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil
	}
	return err
}

// showOutcome prints what became of a record, and returns an error if it has
// no effect.
func showOutcome(s Streams, r declarations.Result) error {
	if r.Err != nil {
		_, _ = fmt.Fprintln(s.Out, r.Position, "rejected", r.Record, describeChange(r.Change), r.Err)
		return r.Err
	}
	_, _ = fmt.Fprintln(s.Out, r.Position, "accepted", r.Record, describeChange(r.Change))
	return nil
}

// describeChange returns who changed which customers.
func describeChange(c *message.Change) string {
	if c == nil {
		return "-"
	}
	var names []string
	for _, d := range c.Contracts {
		names = append(names, d.Customer)
	}
	for _, customer := range c.Removed {
		names = append(names, "-"+customer)
	}
	return fmt.Sprintf("by %s: %s:", c.Operator, strings.Join(names, " "))
}
