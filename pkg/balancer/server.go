package balancer

import (
	"time"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/threshold"
)

// Server is what one caller knows of one server of a service.
type Server struct {
	id        instance.ID
	domain    string
	near      bool // in the caller's own failure domain
	draining  bool
	suspected bool
	inFlight  int

	answer   time.Duration // recent answer time; 0 if none is known
	measured time.Time     // last change of answer
	progress time.Time     // last answer, or first call in flight after an idle time

	failures float64   // decaying count of failures
	failed   time.Time // last change of failures
	good     int       // good answers since the last failure, while failures count
	streak   int       // failures to reach the server since its last answer
	avoid    time.Time // the server is passed over until then

	picked time.Time // last call given to the server
	turn   uint64    // calls that the service had been given by then

	threshold threshold.Estimate
	limit     int // concurrency limit that was told; 0 if none
}

// ID returns the instance of the server's node.
func (s *Server) ID() instance.ID { return s.id }

// Domain returns the failure domain of the server.
func (s *Server) Domain() string { return s.domain }

// InFlight returns the calls that this caller has open at the server.
func (s *Server) InFlight() int { return s.inFlight }

// AnswerTime returns the recent answer time, or 0 if none is known.
func (s *Server) AnswerTime() time.Duration { return s.answer }

// Silent reports whether the server has answered no call since a point in time
// at which a call to it was in flight.
func (s *Server) Silent(since time.Time) bool { return !s.progress.After(since) }

// present reports whether the server takes new work at all.
func (s *Server) present() bool { return !s.draining && !s.suspected }

// settled reports whether nothing speaks against full use of the server.
func (s *Server) settled(now time.Time) bool {
	if now.Before(s.avoid) {
		return false
	}
	if s.streak > 0 && s.inFlight > 0 {
		return false // one call at a time until the server has answered again
	}
	return s.limit == 0 || s.inFlight < s.limit
}
