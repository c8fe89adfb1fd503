// Command sidecar runs the node beside one backend server of the platform.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/environment"
	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/journal"
	"github.com/papayapath/papayapath/internal/sidecar"
	"github.com/papayapath/papayapath/internal/socket"
	"github.com/papayapath/papayapath/platform/configuration"
	"github.com/papayapath/papayapath/platform/header"
	"github.com/papayapath/papayapath/platform/heartbeat"
	"github.com/papayapath/papayapath/platform/settings"
	"github.com/papayapath/papayapath/platform/store"
)

const (
	// collectAt is the growth of the heap in percent at which it is collected.
	collectAt = 50
	// memoryPart is the part of the allowed memory from which on the heap is
	// collected more often.
	memoryPart = 0.7
	// logDialTimeout bounds the opening of a connection to the platform log.
	logDialTimeout = time.Second
	// flushTime bounds the wait for the last log lines.
	flushTime = 200 * time.Millisecond
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(1)
	}
}

func run() error {
	path := os.Getenv(settings.Variable)
	env, err := settings.Read(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(int64(memoryPart * float64(env.Memory)))
	j := journal.New(os.Stdout, logrus.Fields{"node": env.Name})
	defer j.Flush(flushTime)
	node := sidecar.New(env, header.Dialect{}, formats(), newLog(env), j)
	stop := make(chan struct{})
	go signals(path, env, node, j, stop)
	return node.Run(context.Background(), stop)
}

// formats returns the readers of what the platform's other parties write.
func formats() sidecar.Formats {
	return sidecar.Formats{
		Configuration: configuration.Decode,
		Topic:         configuration.Topic,
		Key:           configuration.Key,
		Server:        heartbeat.ID,
		Heartbeat:     heartbeat.Decode,
		IsExpired: func(err error) bool {
			var e *store.Error
			return errors.As(err, &e) && e.Status() == fasthttp.StatusGone
		},
	}
}

func newLog(env *environment.Environment) *store.Store {
	return store.New(env.Log, func(address string) (net.Conn, error) {
		return socket.Dial(context.Background(), address, logDialTimeout)
	})
}

// signals stops the node on SIGTERM and reads the settings again on SIGHUP.
func signals(path string, env *environment.Environment, node *sidecar.Node, j *journal.Journal, stop chan struct{}) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for s := range c {
		if s != syscall.SIGHUP {
			close(stop)
			return
		}
		next, err := settings.Read(path)
		if err != nil {
			j.Write(event.SettingsRejected, logrus.Fields{"detail": err.Error()})
			continue
		}
		j.Write(event.Reloaded, logrus.Fields{"log": next.Log.String()})
		if next.Log != env.Log {
			node.SetLog(newLog(next))
		}
		env = next
	}
}
