package program

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/papayapath/papayapath/internal/lab/deployment"
	"github.com/papayapath/papayapath/internal/lab/experiment"
	"github.com/papayapath/papayapath/internal/lab/mesh"
	"github.com/papayapath/papayapath/internal/lab/report"
)

// allNames selects all deployments or variants.
const allNames = "all"

// variants returns the variants that the run command supports.
func variants() []experiment.Variant {
	return []experiment.Variant{mesh.Variant(), experiment.Naive()}
}

// runCommand runs experiments.
type runCommand struct {
	seed       uint64
	deployment string
	variant    string
	format     string
	report     string
}

// Name returns the name of the subcommand.
func (*runCommand) Name() string { return "run" }

// Synopsis describes the subcommand in one line.
func (*runCommand) Synopsis() string { return "run experiments and report their figures" }

// Usage describes the arguments.
func (*runCommand) Usage() string {
	return "run [-deployment NAME] [-variant NAME] [-seed N] [-format table|json] [-report FILE]\n" +
		"Run deployments concurrently and variants sequentially, about 20 s each.\n"
}

// SetFlags declares the arguments.
func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "seed of arrivals and run times")
	f.StringVar(&c.deployment, "deployment", allNames, "regie, nilegear or all")
	f.StringVar(&c.variant, "variant", allNames, "papayapath, naive or all")
	f.StringVar(&c.format, "format", "table", "table or json")
	f.StringVar(&c.report, "report", "", "PNG file for plots; none if empty")
}

// Execute runs the experiments.
func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return status(c.experiment(ctx))
}

func (c *runCommand) experiment(ctx context.Context) error {
	deployments, err := chooseDeployments(c.deployment)
	if err != nil {
		return err
	}
	chosen, err := chooseVariants(c.variant)
	if err != nil {
		return err
	}
	if c.format != "table" && c.format != "json" {
		return &usageError{flag: "format", reason: "neither table nor json"}
	}
	all, err := experiment.All(ctx, deployments, chosen, experiment.WithSeed(c.seed))
	if err != nil {
		return err
	}
	r := report.New(all)
	if c.report != "" {
		if err := writePlots(r, c.report); err != nil {
			return err
		}
	}
	if c.format == "json" {
		return r.JSON(os.Stdout)
	}
	return r.Table(os.Stdout)
}

// writePlots writes the plots to a file.
func writePlots(r *report.Report, name string) (err error) {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}()
	return r.PNG(f)
}

func chooseDeployments(name string) ([]*deployment.Deployment, error) {
	if name == allNames {
		return deployment.All(), nil
	}
	d, err := deployment.ByName(name)
	if err != nil {
		return nil, &usageError{flag: "deployment", reason: err.Error()}
	}
	return []*deployment.Deployment{d}, nil
}

func chooseVariants(name string) ([]experiment.Variant, error) {
	if name == allNames {
		return variants(), nil
	}
	for _, v := range variants() {
		if v.Name() == name {
			return []experiment.Variant{v}, nil
		}
	}
	return nil, &usageError{flag: "variant", reason: "unknown variant"}
}
