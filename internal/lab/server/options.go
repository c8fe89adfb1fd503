package server

import (
	"time"

	"github.com/papayapath/papayapath/internal/lab/history"
)

// Option changes a Server.
type Option func(*Server)

// WithSlots sets how many requests run at once, and how many more connections
// wait for a slot.
func WithSlots(slots, connections int) Option {
	return func(s *Server) { s.slots, s.connections = slots, connections }
}

// WithRunTime sets the mean run time, and its spread as a fraction of the mean.
// Run times are uniform between mean*(1-spread) and mean*(1+spread).
func WithRunTime(meanRunTime time.Duration, spread float64) Option {
	return func(s *Server) { s.meanRunTime, s.spread = meanRunTime, spread }
}

// WithSeed sets the seed of the run times.
func WithSeed(seed uint64) Option { return func(s *Server) { s.seed = seed } }

// WithColdStart makes runs slower after a start: the first one takes factor times
// as long, and the excess shrinks to nothing over the given time.
func WithColdStart(d time.Duration, factor float64) Option {
	return func(s *Server) { s.coldPeriod, s.coldFactor = d, factor }
}

// WithPaths sets the requests that the server answers.
func WithPaths(paths ...Path) Option { return func(s *Server) { s.paths = paths } }

// WithNode sets the address of the node's HTTP for its backend server.
// Without a node the server announces nothing and makes no calls.
func WithNode(address string) Option { return func(s *Server) { s.node = address } }

// WithoutCallHeader makes the server drop the Papayapath-Call field, so that
// its node can't tell which request its calls belong to.
func WithoutCallHeader() Option { return func(s *Server) { s.omitCallHeader = true } }

// WithHistory sets where runs and refusals are recorded.
func WithHistory(h *history.History) Option { return func(s *Server) { s.history = h } }

// WithRestartDelay sets how long a crashed server stays away.
func WithRestartDelay(d time.Duration) Option { return func(s *Server) { s.restartDelay = d } }
