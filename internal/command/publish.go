package command

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/google/uuid"

	"github.com/papayapath/papayapath/internal/publication"
	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/stream"
)

// publish puts the contracts of a directory into force.
type publish struct {
	log      logFlags
	prune    bool
	reset    bool
	from     string
	record   string
	operator string
}

func (*publish) Name() string     { return "publish" }
func (*publish) Synopsis() string { return "put contracts into force" }

func (*publish) Usage() string {
	return `publish [-log URL] [-operator NAME] [-from VERSION] [-prune] DIR
Publish what plan shows. Exits with 0 if the change was accepted, with 3 if
another operator's change of the same customer came first, and with 4 if it is
not known whether the change was accepted.
`
}

func (p *publish) SetFlags(f *flag.FlagSet) {
	p.log.set(f)
	f.BoolVar(&p.prune, "prune", false, "remove contracts in force that DIR does not have")
	f.BoolVar(&p.reset, "reset", false, "start from DIR alone, if the log and all nodes have lost the contracts")
	f.StringVar(&p.from, "from", "", "version that plan showed; changes made since then conflict")
	f.StringVar(&p.record, "record", "", "id of the record; default is a new one")
	f.StringVar(&p.operator, "operator", os.Getenv(operatorVariable), "name of the operator; default from "+operatorVariable)
}

func (p *publish) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	s := streams(args)
	if f.NArg() != 1 {
		return exit(s, &UsageError{reason: "publish: one directory is required"})
	}
	if p.operator == "" {
		return exit(s, &UsageError{reason: "publish: the name of the operator is required: -operator or " + operatorVariable})
	}
	if p.record == "" {
		p.record = uuid.NewString()
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
	if p.reset {
		return exitPublication(s, p.restart(ctx, s, publisher, documents))
	}
	return exitPublication(s, p.run(ctx, s, publisher, documents))
}

func (p *publish) run(ctx context.Context, s Streams, publisher *publication.Publisher, documents []contract.Document) error {
	results, err := publisher.Read(ctx)
	if err != nil {
		return err
	}
	for _, r := range results {
		if r.Record == p.record {
			return showOutcome(s, r)
		}
	}
	plan := publication.Compare(publisher.State(), documents, p.prune)
	if plan.IsEmpty() {
		_, _ = fmt.Fprintln(s.Out, "nothing to change at version", plan.Version)
		return nil
	}
	if p.from != "" {
		if plan.Version, err = stream.Parse(p.from); err != nil {
			return &UsageError{reason: "publish: -from: " + err.Error()}
		}
	}
	showPlan(s.Out, plan)
	position, err := publisher.Publish(ctx, plan, p.record, p.operator)
	return p.finish(s, position, err)
}

func (p *publish) restart(ctx context.Context, s Streams, publisher *publication.Publisher, documents []contract.Document) error {
	if _, err := publisher.Read(ctx); err == nil {
		return &UsageError{reason: "publish: -reset is not possible, since the log holds the contracts in force"}
	}
	position, err := publisher.Reset(ctx, documents, p.record, p.operator)
	return p.finish(s, position, err)
}

func (p *publish) finish(s Streams, position stream.Position, err error) error {
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(s.Out, "accepted at version %s as record %s\n", position, p.record)
	return nil
}
