package speed

import (
	"math"
	"time"
)

const (
	// serverWeight and routeWeight are the weights of one report in the estimates of
	// its server and its route. The work of a route changes seldom, and an error in it
	// would move all servers.
	serverWeight = 1.0 / 2
	routeWeight  = 1.0 / 16
	// maxFactor bounds how much slower or faster than usual a server can be taken for.
	maxFactor = 64
)

// maxLog is the logarithm of maxFactor.
var maxLog = math.Log(maxFactor)

// Server is the speed of a server relative to the others of its service. The zero value
// is unknown.
type Server struct {
	slowness float64 // factor on the service times
	log      float64 // logarithm of slowness
	known    bool
}

// Known reports whether a service time was learned.
func (s *Server) Known() bool { return s.known }

// Slowness returns the factor on the service times of the routes. Only its ratio to that
// of other servers has a meaning. It is 0 while the speed is unknown.
func (s *Server) Slowness() float64 { return s.slowness }

// Route is the service time of a route at a server of slowness 1. The zero value is
// unknown.
type Route struct {
	time  float64 // ns
	log   float64 // logarithm of time
	known bool
}

// Time returns the service time at a server of slowness 1, or 0 if it is unknown.
func (r *Route) Time() time.Duration { return time.Duration(r.time) }

// Learn adds the service time of a route at a server, as the node beside the server has
// averaged it. The argument typical is the slowness of a typical server of the service,
// from which an unknown server starts, or 0 if none is known. Service times that are not
// positive are ignored.
func Learn(r *Route, s *Server, serviceTime time.Duration, typical float64) {
	if serviceTime <= 0 {
		return
	}
	log := math.Log(float64(serviceTime))
	if !r.known {
		base := s.log
		if !s.known && typical > 0 {
			base = math.Log(typical)
		}
		r.log, r.known = log-base, true
	}
	if !s.known {
		s.log, s.known = log-r.log, true
	}
	// The logarithm of a service time is the sum of that of the route and that of the
	// server.
	offset := log - r.log - s.log
	s.log = max(-maxLog, min(maxLog, s.log+serverWeight*offset))
	r.log += routeWeight * offset
	s.slowness, r.time = math.Exp(s.log), math.Exp(r.log)
}
