package server

import (
	"time"

	"github.com/papayapath/papayapath/internal/lab/history"
)

// Option configures a Server.
type Option func(*Server)

// WithSlots sets the number of requests that run concurrently, and the number
// of further requests that wait for a slot.
func WithSlots(slots, connections int) Option {
	return func(s *Server) { s.slots, s.connections = slots, connections }
}

// WithRunTime sets the mean run time, and its spread as a fraction of the
// mean. Run times are uniform between mean*(1-spread) and mean*(1+spread).
func WithRunTime(meanRunTime time.Duration, spread float64) Option {
	return func(s *Server) { s.meanRunTime, s.spread = meanRunTime, spread }
}

// WithSeed sets the random seed of the run times.
func WithSeed(seed uint64) Option { return func(s *Server) { s.seed = seed } }

// WithColdStart makes runs slower after a start: the run time is multiplied by
// factor at the start, and the excess decreases linearly to zero over d.
func WithColdStart(d time.Duration, factor float64) Option {
	return func(s *Server) { s.coldPeriod, s.coldFactor = d, factor }
}

// WithPaths sets the paths that the server handles.
func WithPaths(paths ...Path) Option { return func(s *Server) { s.paths = paths } }

// WithNode sets the address of the node's HTTP port for its backend server.
// Without a node the server makes no announcements and no calls.
func WithNode(address string) Option { return func(s *Server) { s.node = address } }

// WithoutCallHeader makes the server omit the Papayapath-Call field from its
// calls, so that its node can't associate them with a request.
func WithoutCallHeader() Option { return func(s *Server) { s.omitCallHeader = true } }

// WithHistory sets the history that records runs and refusals.
func WithHistory(h *history.History) Option { return func(s *Server) { s.history = h } }

// WithRestartDelay sets the time between a crash and the restart.
func WithRestartDelay(d time.Duration) Option { return func(s *Server) { s.restartDelay = d } }
