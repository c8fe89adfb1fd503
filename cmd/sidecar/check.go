package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/google/subcommands"

	"github.com/papayapath/papayapath/platform/settings"
)

// checkCommand validates a settings file and prints the resulting settings.
type checkCommand struct{ out io.Writer }

// Name returns the name of the command.
func (*checkCommand) Name() string { return "check" }

// Synopsis returns a one-line description of the command.
func (*checkCommand) Synopsis() string { return "validate a settings file" }

// Usage returns the usage message.
func (*checkCommand) Usage() string {
	return "check [FILE]: validates FILE, by default the file named by " + settings.PathVariable + ".\n"
}

// SetFlags does nothing: the command has no flags.
func (*checkCommand) SetFlags(*flag.FlagSet) {}

// Execute runs the command.
func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	path := os.Getenv(settings.PathVariable)
	if f.NArg() > 0 {
		path = f.Arg(0)
	}
	env, err := settings.Read(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Fprintf(c.out, "instance %s in %s, server of %s at %s\n", env.Instance, env.Domain, env.Service, env.BackendAddr)
	fmt.Fprintf(c.out, "callers %s, readiness %s, heartbeats %s, nodes %s, log %s\n",
		env.CallerAddr, env.ReadinessAddr, env.HeartbeatAddr, env.PeerAddr, env.LogAddr)
	fmt.Fprintf(c.out, "grace period %s, memory %d MiB, retries %g of the requests and %g in %s\n",
		env.GracePeriod, env.MemoryLimit>>20, env.RetryBudgetRatio, env.RetryBudgetSlack, env.RetryBudgetWindow)
	return subcommands.ExitSuccess
}

// versionCommand prints the module version and the VCS revision.
type versionCommand struct{ out io.Writer }

// Name returns the name of the command.
func (*versionCommand) Name() string { return "version" }

// Synopsis returns a one-line description of the command.
func (*versionCommand) Synopsis() string { return "print the version" }

// Usage returns the usage message.
func (*versionCommand) Usage() string { return "version\n" }

// SetFlags does nothing: the command has no flags.
func (*versionCommand) SetFlags(*flag.FlagSet) {}

// Execute runs the command.
func (c *versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				version += " " + s.Value
			}
		}
	}
	fmt.Fprintln(c.out, version)
	return subcommands.ExitSuccess
}
