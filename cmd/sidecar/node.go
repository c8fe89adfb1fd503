package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"

	"github.com/papayapath/papayapath/internal/environment"
	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/journal"
	"github.com/papayapath/papayapath/internal/sidecar"
	"github.com/papayapath/papayapath/internal/signals"
	"github.com/papayapath/papayapath/platform"
	"github.com/papayapath/papayapath/platform/settings"
)

const (
	// nodeCommandName is the command that runs by default.
	nodeCommandName = "node"
	// gcPercent is the heap growth that triggers a garbage collection, in
	// percent, as in GOGC.
	gcPercent = 100
	// memoryLimitRatio is the soft memory limit of the runtime, as in
	// GOMEMLIMIT, as a fraction of the memory limit of the process.
	memoryLimitRatio = 0.7
	// logFlushTimeout limits the time to write buffered log lines at exit.
	logFlushTimeout = 200 * time.Millisecond
	// settingsPollInterval is the interval of checks for changes of the settings
	// file, which may change without a SIGHUP.
	settingsPollInterval = 2 * time.Second
)

// nodeCommand runs the node.
type nodeCommand struct{}

// Name returns the name of the command.
func (*nodeCommand) Name() string { return nodeCommandName }

// Synopsis returns a one-line description of the command.
func (*nodeCommand) Synopsis() string { return "run the node (the default)" }

// Usage returns the usage message.
func (*nodeCommand) Usage() string {
	return "node: runs the node until SIGTERM, with the settings file named by " + settings.PathVariable + ".\n"
}

// SetFlags does nothing: the command has no flags.
func (*nodeCommand) SetFlags(*flag.FlagSet) {}

// Execute runs the command.
func (*nodeCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := run(ctx, os.Getenv(settings.PathVariable)); err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func run(ctx context.Context, path string) error {
	// An unhandled SIGHUP would end the process while it reads the settings.
	s := signals.Watch()
	env, err := settings.Read(path)
	if err != nil {
		j := journal.New(os.Stdout, nil)
		defer j.Flush(logFlushTimeout)
		logFailure(j, err)
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(env.MemoryLimit)))
	j := journal.New(os.Stdout, logrus.Fields{"node": env.Instance})
	defer j.Flush(logFlushTimeout)
	node := platform.NewNode(env, j)
	r := &reloader{path: path, env: env, journal: j, node: node}
	go r.watch(s.Reload())
	err = node.Run(ctx, s.Stop())
	logFailure(j, err)
	return err
}

// logFailure logs the error that ends the process, if there is one.
func logFailure(j *journal.Journal, err error) {
	if err != nil {
		j.Write(event.NodeFailed, logrus.Fields{"detail": err.Error()})
	}
}

// reloader reloads the settings of a node on SIGHUP or when the settings file
// changes. It has no part in stopping the node, as a reload may take long.
type reloader struct {
	path    string
	text    []byte // contents of the settings file when it was last read
	env     *environment.Environment
	journal *journal.Journal
	node    *sidecar.Node
}

// watch handles signals and checks the settings file for changes, until the
// process ends.
func (r *reloader) watch(hangups <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	r.text, _ = os.ReadFile(r.path) //nolint:errcheck // run has read the file; after an error the next check reloads it
	for {
		select {
		case <-hangups:
			r.reload("signal")
		case <-ticker.C:
			if text, err := os.ReadFile(r.path); err == nil && !bytes.Equal(text, r.text) {
				r.reload("file")
			}
		}
	}
}

// reload applies the settings in the file. It keeps the current settings if the
// file is unreadable or invalid.
func (r *reloader) reload(cause string) {
	text, err := os.ReadFile(r.path)
	if err != nil {
		r.journal.Write(event.SettingsRejected, logrus.Fields{"detail": err.Error()})
		return
	}
	r.text = text
	next, err := settings.Parse(r.path, string(text))
	if err != nil {
		r.journal.Write(event.SettingsRejected, logrus.Fields{"detail": err.Error()})
		return
	}
	r.journal.Write(event.SettingsReloaded, logrus.Fields{"cause": cause, "log": next.LogAddr.String(), "grace_ms": next.GracePeriod.Milliseconds()})
	r.node.SetGracePeriod(next.GracePeriod)
	if next.LogAddr != r.env.LogAddr {
		r.node.SetLog(platform.NewLog(next, r.node.Budget()))
	}
	r.env = next
}
