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

// Defaults of a server.
const (
	defaultSlots        = 10
	defaultConnections  = 100
	defaultMeanRunTime  = 5 * time.Millisecond
	defaultRestartDelay = time.Second
)

// Server is a stand-in for one backend server. Its methods may be called from
// any goroutine.
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
	clock     *clock
	freeSlots chan struct{} // one element for each free slot
	admitted  atomic.Int64  // requests that run or wait
	draining  atomic.Bool
	reports   reports

	mu      sync.Mutex
	address string
	crash   context.CancelFunc
}

// New returns a server of a service.
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
	s.clock = newClock(s.meanRunTime, s.spread, s.seed, s.coldPeriod, s.coldFactor)
	s.freeSlots = make(chan struct{}, s.slots)
	for range s.slots {
		s.freeSlots <- struct{}{}
	}
	return s
}

// Service returns the name of the service.
func (s *Server) Service() string { return s.service }

// Address returns where the server listens, or nothing while it is away.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// SlowBy makes all runs take factor times as long.
func (s *Server) SlowBy(factor float64) { s.clock.setSlowdown(factor) }

// SetPaused stops all runs and answers, or lets them go on.
func (s *Server) SetPaused(paused bool) { s.clock.setPaused(paused) }

// Crash cuts all connections and loses all runs. The server comes back cold
// at another address.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crash != nil {
		s.crash()
	}
}

// Run serves on listener until ctx ends, and on a new one after each crash.
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

// serve answers requests until ctx ends or the server crashes.
func (s *Server) serve(ctx context.Context, listener *loopback.Listener) error {
	serverCtx, crash := context.WithCancel(ctx)
	defer crash()
	s.clock.recordStart(time.Now())
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

// setAddress notes where the server listens and how it is crashed.
func (s *Server) setAddress(address string, crash context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address, s.crash = address, crash
}

// sleep waits and reports whether ctx is still alive.
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
