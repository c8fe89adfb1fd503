package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives the signals of the process.
type Signals struct {
	stop   chan struct{}
	reload chan os.Signal
}

// Watch starts to receive SIGTERM, SIGINT and SIGHUP, and ignores SIGPIPE. Until it is
// called, each of them ends the process, unless the program has ignored it before.
//
// SIGPIPE is sent when nobody reads the standard output or error any more.
//
// Package os/signal drops a signal for which its channel has no room. Each kind of
// signal has its own channel with room for one, so a signal is dropped only while
// an equal one waits, which has the same effect: it will be acted on later.
func Watch() *Signals {
	s := &Signals{stop: make(chan struct{}), reload: make(chan os.Signal, 1)}
	signal.Ignore(syscall.SIGPIPE)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	go func() {
		<-stop
		close(s.stop)
	}()
	return s
}

// Stop returns a channel that is closed when the process has been told to stop.
func (s *Signals) Stop() <-chan struct{} { return s.stop }

// Reload returns the channel of signals to reload the settings.
func (s *Signals) Reload() <-chan os.Signal { return s.reload }
