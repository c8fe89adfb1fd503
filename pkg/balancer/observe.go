package balancer

import (
	"net/http"
	"time"

	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/priority"
)

const (
	// avoidFirst is how long a server is passed over after it failed once; the
	// time doubles with each further failure in a row.
	avoidFirst = 100 * time.Millisecond
	// avoidMost bounds that time, so that a server that came back is used
	// again within a second.
	avoidMost = 800 * time.Millisecond
	// avoidDoublings is the number of doublings from avoidFirst to avoidMost.
	avoidDoublings = 3
	// avoidFull is how long a server is passed over that refused a call above
	// its threshold, because its queue is full.
	avoidFull = 20 * time.Millisecond
)

// Start records that a call of priority p is sent to s.
func (b *Balancer) Start(now time.Time, s *Server, p priority.Priority) {
	if s.inFlight == 0 {
		s.progress = now
	}
	if value, _ := s.threshold.LastUpdate(); p < value {
		s.threshold.MarkProbe(now)
	}
	s.inFlight++
	s.picked = now
	b.turns++
	s.turn = b.turns
}

// Answered records the answer to a call of priority p that was sent elapsed
// ago.
func (b *Balancer) Answered(now time.Time, s *Server, p priority.Priority, elapsed time.Duration, a *message.Answer) {
	s.end()
	s.progress = now
	b.learn(now, s, a)
	switch a.Outcome {
	case outcome.Complete:
		b.complete(now, s, elapsed, a.Status)
	case outcome.NotRun:
		s.refuse(now, p, a)
	default:
		s.fail(now)
	}
}

// Failed records that the stream of a call broke off. sent tells whether the
// call may have been handed over; if not, the server could not be reached.
func (b *Balancer) Failed(now time.Time, s *Server, sent bool) {
	s.end()
	s.fail(now)
	if !sent {
		s.passOver(now)
	}
}

// Abandoned records that the caller no longer waits for a call. The time that
// it waited is a lower bound of the answer time.
func (b *Balancer) Abandoned(now time.Time, s *Server, elapsed time.Duration) {
	s.end()
	if elapsed > s.answer {
		s.sample(now, elapsed)
	}
}

// Hung records that the caller gives up a call to a server that has answered
// nothing since it was sent.
func (b *Balancer) Hung(now time.Time, s *Server, elapsed time.Duration) {
	b.Abandoned(now, s, elapsed)
	s.fail(now)
	s.passOver(now)
}

// Fastest returns the shortest answer time of the service in the last second,
// or 0 if there was no answer.
func (b *Balancer) Fastest(now time.Time) time.Duration { return b.fastest.Least(now) }

// learn takes over what an answer tells of the server's load. An answer that
// a node gives on behalf of a server that it can't ask tells nothing.
func (b *Balancer) learn(now time.Time, s *Server, a *message.Answer) {
	if a.Threshold == 0 && a.Limit == 0 {
		return
	}
	if value, _ := s.threshold.LastUpdate(); a.Threshold < value {
		b.dropFloor()
	}
	s.threshold.Update(now, a.Threshold)
	s.limit = a.Limit
}

func (b *Balancer) complete(now time.Time, s *Server, elapsed time.Duration, status int) {
	if status >= http.StatusInternalServerError {
		// An error answer is often quick, so its time would attract calls.
		s.fail(now)
		s.streak = 0
		return
	}
	s.recover(now)
	s.sample(now, elapsed)
	b.mean = smooth(b.mean, elapsed, now.Sub(b.measured))
	b.measured = now
	b.fastest.Add(now, elapsed)
}

// refuse takes note of a refusal. Its time says nothing of the answer time.
func (s *Server) refuse(now time.Time, p priority.Priority, a *message.Answer) {
	switch a.Reason {
	case outcome.Overload, outcome.Preempted:
		if p >= a.Threshold {
			s.avoid = later(s.avoid, now.Add(avoidFull))
		}
	case outcome.Draining:
		s.draining = true
	case outcome.Unavailable, outcome.Broken:
		s.fail(now)
		s.passOver(now)
	}
}

func (s *Server) end() { s.inFlight = max(s.inFlight-1, 0) }

func (s *Server) sample(now time.Time, elapsed time.Duration) {
	s.answer = max(smooth(s.answer, elapsed, now.Sub(s.measured)), 1)
	s.measured = now
}

func (s *Server) fail(now time.Time) {
	s.failures = min(s.recentFailures(now)+1, mostFailures)
	s.failed = now
	s.good = 0
}

// recover takes note of a good answer, which halves the weight of failures.
func (s *Server) recover(now time.Time) {
	s.streak = 0
	if s.failures == 0 {
		return
	}
	s.failures = s.recentFailures(now) / 2
	s.failed = now
	s.good++
	if s.failures < leastFailures {
		s.failures, s.good = 0, 0
	}
}

func (s *Server) passOver(now time.Time) {
	wait := min(avoidFirst<<min(s.streak, avoidDoublings), avoidMost)
	s.streak++
	s.avoid = later(s.avoid, now.Add(wait))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
