package program

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/papayapath/papayapath/internal/lab/deployment"
	"github.com/papayapath/papayapath/internal/lab/history"
	"github.com/papayapath/papayapath/internal/lab/loopback"
)

// serverCommand runs one simulated backend server.
type serverCommand struct {
	listen     string
	node       string
	deployment string
	service    string
	seed       uint64
}

// Name returns the name of the subcommand.
func (*serverCommand) Name() string { return "server" }

// Synopsis describes the subcommand in one line.
func (*serverCommand) Synopsis() string { return "serve one backend server of a deployment" }

// Usage describes the arguments.
func (*serverCommand) Usage() string {
	return "server -service NAME -node ADDRESS [-deployment NAME] [-listen ADDRESS] [-seed N]\n" +
		"Serve one backend server until interrupted. POST /control changes its behavior,\n" +
		"GET /runs counts its runs.\n"
}

// SetFlags declares the arguments.
func (c *serverCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", anyPort, "loopback address and port")
	f.StringVar(&c.node, "node", "", "HTTP address of the node for its backend server")
	f.StringVar(&c.deployment, "deployment", "regie", "regie or nilegear")
	f.StringVar(&c.service, "service", "", "service of the deployment")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the run times")
}

// Execute runs the server until ctx ends.
func (c *serverCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return status(c.serve(ctx))
}

func (c *serverCommand) serve(ctx context.Context) error {
	d, err := deployment.ByName(c.deployment)
	if err != nil {
		return &usageError{flag: "deployment", reason: err.Error()}
	}
	index, err := placementIndex(d, c.service)
	if err != nil {
		return err
	}
	if err := loopback.CheckAddress(c.node); err != nil {
		return &usageError{flag: "node", reason: err.Error()}
	}
	listener, err := loopback.ListenAt(c.listen)
	if err != nil {
		return err
	}
	fmt.Println(listener.Address())
	return d.Server(index, c.node, c.seed, history.New()).Run(ctx, listener)
}

// placementIndex returns the index of the first placement of a service.
func placementIndex(d *deployment.Deployment, service string) (int, error) {
	for i, s := range d.Placements() {
		if s.Name == service {
			return i, nil
		}
	}
	return 0, &usageError{flag: "service", reason: fmt.Sprintf("%q is no service of %s", service, d.Name())}
}
