package server

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/lab/caller"
	"github.com/papayapath/papayapath/internal/lab/history"
	"github.com/papayapath/papayapath/internal/lab/loopback"
)

// Default settings of a server.
const (
	defaultSlots        = 10
	defaultConnections  = 100
	defaultMeanRunTime  = 5 * time.Millisecond
	defaultRestartDelay = time.Second
)

// Server simulates one backend server. Its methods are safe for concurrent
// use.
type Server struct {
	service        string
	slots          int
	connections    int
	meanRunTime    time.Duration
	spread         float64
	seed           uint64
	coldPeriod     time.Duration
	coldFactor     float64
	paths          []Path
	node           string
	omitCallHeader bool
	history        *history.History
	restartDelay   time.Duration

	caller    *caller.Caller
	runTimer  *runTimer
	freeSlots chan struct{} // holds one element per free slot
	admitted  atomic.Int64  // requests that are running or waiting
	draining  atomic.Bool
	reports   reports

	mu      sync.Mutex
	address string
	crash   context.CancelFunc
}

// New returns a server that provides a service.
func New(service string, options ...Option) *Server {
	s := &Server{
		service: service,
		slots:   defaultSlots, connections: defaultConnections,
		meanRunTime: defaultMeanRunTime, coldFactor: 1,
		restartDelay: defaultRestartDelay,
		history:      history.New(),
	}
	for _, o := range options {
		o(s)
	}
	s.caller = caller.New()
	s.runTimer = newRunTimer(s.meanRunTime, s.spread, s.seed, s.coldPeriod, s.coldFactor)
	s.freeSlots = make(chan struct{}, s.slots)
	for range s.slots {
		s.freeSlots <- struct{}{}
	}
	return s
}

// Service returns the name of the provided service.
func (s *Server) Service() string { return s.service }

// Address returns the address on which the server listens, or an empty string
// while it is down.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// SlowBy multiplies all run times by factor.
func (s *Server) SlowBy(factor float64) { s.runTimer.setSlowdown(factor) }

// SetPaused suspends or resumes all runs and responses.
func (s *Server) SetPaused(paused bool) { s.runTimer.setPaused(paused) }

// Crash closes all connections and aborts all runs. The server restarts at
// another address, with a cold start.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crash != nil {
		s.crash()
	}
}

// Run serves on listener until ctx ends. After each crash it listens on a new
// port.
func (s *Server) Run(ctx context.Context, listener *loopback.Listener) error {
	defer s.caller.Close()
	for {
		if err := s.serve(ctx, listener); err != nil {
			return err
		}
		if !sleep(ctx, s.restartDelay) {
			return nil
		}
		var err error
		if listener, err = loopback.Listen(); err != nil {
			return err
		}
	}
}

// serve handles requests until ctx ends or the server crashes.
func (s *Server) serve(ctx context.Context, listener *loopback.Listener) error {
	serverCtx, crash := context.WithCancel(ctx)
	defer crash()
	s.runTimer.recordStart(time.Now())
	s.setAddress(listener.Address(), crash)
	defer s.setAddress("", nil)
	var group conc.WaitGroup
	if s.node != "" {
		group.Go(func() { s.announce(serverCtx) })
	}
	err := loopback.Serve(serverCtx, listener, func(r *fasthttp.RequestCtx) { s.handle(serverCtx, r) })
	crash()
	group.Wait()
	return err
}

// setAddress sets the listening address and the function that crashes the
// server.
func (s *Server) setAddress(address string, crash context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address, s.crash = address, crash
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
