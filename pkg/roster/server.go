package roster

import "time"

const (
	// fresh is the age up to which a server's load is taken as told.
	fresh = 200 * time.Millisecond
	// stale is the age from which a server's load says nothing.
	stale = 2 * time.Second
	// forgiven is the age from which a slow server counts like the others. It
	// is longer than stale because finding out costs a slow request.
	forgiven = 8 * time.Second
	// leastFree is the part of the capacity that counts as free at least.
	leastFree = 0.1
	// shortest is the run time assumed where none is known.
	shortest = time.Millisecond
	// failureWeight is the part of one answer in the mean part of failures.
	failureWeight = 1.0 / 16
	// leastGood bounds the part of good answers from below, so that a server
	// which fails all requests still gets some that tell when it is well again.
	leastGood = 0.1
	// failingFrom is the part of failures from which on a server needs retries that
	// count; a few failures are part of any service.
	failingFrom = 0.1
	// awayPart and awayTime make a server in another failure domain look
	// slower, by a part of its run time and by a round trip, so that traffic
	// stays at home while that costs the caller nothing.
	awayPart = 8
	awayTime = 3 * time.Millisecond
)

// server is what is known of one server.
type server struct {
	node   string
	slots  int
	home   bool
	report Report
	since  int // offers since the last report
	open   int // offers that have not ended
	told   time.Time
	// failures is the part of recent answers that were failures.
	failures float64
}

// cost estimates how long a request would take at the server: its run time,
// divided by the part of the capacity that is free. What was told loses its
// force with age, so that a server which was full or slow gets requests again
// that tell how it is now: its load falls to nothing and its run time to
// typical, that of the other servers. A server that has told nothing yet counts
// as typical as well.
func (s *server) cost(now time.Time, typical time.Duration) time.Duration {
	limit := s.report.Limit
	if limit == 0 {
		limit = max(1, s.slots)
	}
	age := now.Sub(s.told)
	run := s.report.Time
	switch {
	case run == 0:
		run = typical
	case run > typical:
		run = typical + time.Duration(force(age, fresh, forgiven)*float64(run-typical))
	}
	run = max(run, shortest)
	load := force(age, fresh, stale)*float64(s.report.Load) + float64(s.since)
	free := 1 - max(load, float64(s.open))/float64(limit)
	if free < leastFree {
		// Beyond the limit each further request waits for another one.
		free = leastFree / (1 + (leastFree-free)/leastFree)
	}
	if !s.home {
		run += run/awayPart + awayTime
	}
	good := max(leastGood, 1-s.failing(now))
	return time.Duration(float64(run) / (free * good * good))
}

// failing returns the part of requests that the server is expected to fail.
func (s *server) failing(now time.Time) float64 {
	return force(now.Sub(s.told), fresh, forgiven) * s.failures
}

// retries returns how many retries have to be there for one more request: a
// whole one, and those to be expected for the offers that are open.
func (s *server) retries(now time.Time) float64 {
	return 1 + s.failing(now)*float64(s.open)
}

// force returns the part of what was told that still counts at an age: all
// until from, nothing after to.
func force(age, from, to time.Duration) float64 {
	return max(0, min(1, 1-float64(age-from)/float64(to-from)))
}
