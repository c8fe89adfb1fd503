package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"

	"github.com/papayapath/papayapath/internal/environment"
	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/journal"
	"github.com/papayapath/papayapath/internal/sidecar"
	"github.com/papayapath/papayapath/platform"
	"github.com/papayapath/papayapath/platform/settings"
)

const (
	// nodeName is the command that runs if none is given.
	nodeName = "node"
	// collectAt is the growth of the heap in percent at which it is collected.
	collectAt = 50
	// memoryPart is the part of the allowed memory from which on the heap is
	// collected more often.
	memoryPart = 0.7
	// flushTime bounds the wait for the last log lines.
	flushTime = 200 * time.Millisecond
	// fileCheck is how often the settings file is compared with what was read,
	// since it can change without a signal.
	fileCheck = 2 * time.Second
)

// nodeCommand runs the node.
type nodeCommand struct{}

// Name returns the name of the command.
func (*nodeCommand) Name() string { return nodeName }

// Synopsis describes the command in a line.
func (*nodeCommand) Synopsis() string { return "run the node (the default)" }

// Usage describes the arguments.
func (*nodeCommand) Usage() string {
	return "node: runs the node with the settings file that " + settings.PathVariable + " names, until SIGTERM.\n"
}

// SetFlags sets no flags.
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
	// A signal without a receiver would end the process.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	env, err := settings.Read(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(int64(memoryPart * float64(env.MemoryLimit)))
	j := journal.New(os.Stdout, logrus.Fields{"node": env.Instance})
	defer j.Flush(flushTime)
	s := &supervisor{path: path, env: env, journal: j, node: platform.NewNode(env, j), stop: make(chan struct{})}
	go s.watch(signals)
	return s.node.Run(ctx, s.stop)
}

// supervisor stops the node on SIGTERM and follows changes of the settings.
type supervisor struct {
	path    string
	text    []byte // of the settings file as last read
	env     *environment.Environment
	journal *journal.Journal
	node    *sidecar.Node
	stop    chan struct{}
}

// watch follows signals and changes of the settings file.
func (s *supervisor) watch(signals <-chan os.Signal) {
	ticker := time.NewTicker(fileCheck)
	defer ticker.Stop()
	s.text, _ = os.ReadFile(s.path) //nolint:errcheck // run has read it; a failure shows at the next check
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				close(s.stop)
				return
			}
			s.reload("signal")
		case <-ticker.C:
			if text, err := os.ReadFile(s.path); err == nil && !bytes.Equal(text, s.text) {
				s.reload("file")
			}
		}
	}
}

// reload takes over changed settings. Those in force stay if the file has a
// fault.
func (s *supervisor) reload(cause string) {
	text, err := os.ReadFile(s.path)
	if err != nil {
		s.journal.Write(event.SettingsRejected, logrus.Fields{"detail": err.Error()})
		return
	}
	s.text = text
	next, err := settings.Parse(s.path, string(text))
	if err != nil {
		s.journal.Write(event.SettingsRejected, logrus.Fields{"detail": err.Error()})
		return
	}
	s.journal.Write(event.SettingsReloaded, logrus.Fields{"cause": cause, "log": next.LogAddr.String()})
	if next.LogAddr != s.env.LogAddr {
		s.node.SetLog(platform.NewLog(next))
	}
	s.env = next
}
