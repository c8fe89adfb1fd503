package balancer

import "time"

const (
	// smoothing is the time constant of answer times.
	smoothing = 300 * time.Millisecond
	// renewal is the age from which an answer time says nothing any more, so
	// that one quick answer puts a server that was slow into use again.
	renewal = 200 * time.Millisecond
	// failureMemory is the time in which a failure loses half of its weight.
	failureMemory = time.Second
	// mostFailures bounds the weight of failures, and with it the number of good
	// answers after which they are forgotten.
	mostFailures = 8
	// leastFailures is the count below which failures are forgotten.
	leastFailures = 0.2
	// startingTime stands in for an answer time while none is known.
	startingTime = time.Millisecond
)

// score rates a server: calls in flight times answer time, raised by recent
// failures. A smaller score is better.
func (b *Balancer) score(now time.Time, s *Server) float64 {
	weight := 1 + s.recentFailures(now)
	return float64(s.inFlight+1) * float64(b.expected(now, s)) * weight * weight
}

// Usual returns the recent answer time of a server, or of the service if the
// server has given no answer yet, or 0 if neither is known.
func (b *Balancer) Usual(s *Server) time.Duration {
	if s.answer == 0 {
		return b.mean
	}
	return s.answer
}

// expected returns the answer time to be expected of a server. A server that
// has been silent for longer than its usual answer time, while calls wait for
// it, counts as that slow.
func (b *Balancer) expected(now time.Time, s *Server) time.Duration {
	d := b.Usual(s)
	if d == 0 {
		d = startingTime
	}
	if s.inFlight > 0 {
		d = max(d, now.Sub(s.progress))
	}
	return d
}

// recentFailures returns the decayed count of failures.
func (s *Server) recentFailures(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	age := now.Sub(s.failed)
	return s.failures * float64(failureMemory) / float64(failureMemory+max(age, 0))
}

// smooth moves old towards sample. The step grows with the time since the
// last sample, so that rare samples count in full.
func smooth(old, sample, since time.Duration) time.Duration {
	if old == 0 || since >= renewal {
		return sample
	}
	step := float64(since) / float64(since+smoothing)
	return old + time.Duration(step*float64(sample-old))
}
