package command

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"github.com/papayapath/papayapath/internal/publication"
)

// plan shows what publish would change.
type plan struct {
	log   logFlags
	prune bool
}

func (*plan) Name() string     { return "plan" }
func (*plan) Synopsis() string { return "show what publish would change" }

func (*plan) Usage() string {
	return `plan [-log URL] [-prune] DIR
Compare the contract files *.json in DIR with the contracts in force, and print
the version and what publish would add, change and remove.
`
}

func (p *plan) SetFlags(f *flag.FlagSet) {
	p.log.set(f)
	f.BoolVar(&p.prune, "prune", false, "remove contracts in force that DIR does not have")
}

func (p *plan) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	s := streams(args)
	if f.NArg() != 1 {
		return exit(s, &UsageError{reason: "plan: one directory is required"})
	}
	documents, err := publication.Load(f.Arg(0))
	if err != nil {
		return exit(s, err)
	}
	publisher, ctx, cancel, err := p.log.open(ctx)
	if err != nil {
		return exit(s, err)
	}
	defer cancel()
	if _, err := publisher.Read(ctx); err != nil {
		return exit(s, err)
	}
	showPlan(s.Out, publication.Compare(publisher.State(), documents, p.prune))
	return subcommands.ExitSuccess
}

func showPlan(out io.Writer, p publication.Plan) {
	_, _ = fmt.Fprintln(out, "version", p.Version)
	for _, step := range p.Steps {
		_, _ = fmt.Fprintln(out, step.Effect, step.Customer)
	}
}
