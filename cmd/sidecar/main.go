// Command sidecar runs the node beside one backend server of the platform.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayapath/papayapath/internal/environment"
	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/journal"
	"github.com/papayapath/papayapath/internal/sidecar"
	"github.com/papayapath/papayapath/platform"
	"github.com/papayapath/papayapath/platform/settings"
)

const (
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

func main() {
	if err := run(os.Getenv(settings.Variable)); err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(1)
	}
}

func run(path string) error {
	env, err := settings.Read(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(int64(memoryPart * float64(env.Memory)))
	j := journal.New(os.Stdout, logrus.Fields{"node": env.Name})
	defer j.Flush(flushTime)
	s := &supervisor{path: path, env: env, journal: j, node: platform.NewNode(env, j), stop: make(chan struct{})}
	go s.watch()
	return s.node.Run(context.Background(), s.stop)
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

func (s *supervisor) watch() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ticker := time.NewTicker(fileCheck)
	defer ticker.Stop()
	s.text, _ = os.ReadFile(s.path) //nolint:errcheck // run has read it; a failure shows at the next check
	for {
		select {
		case sig := <-c:
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
	s.journal.Write(event.Reloaded, logrus.Fields{"cause": cause, "log": next.Log.String()})
	if next.Log != s.env.Log {
		s.node.SetLog(platform.NewLog(next))
	}
	s.env = next
}
