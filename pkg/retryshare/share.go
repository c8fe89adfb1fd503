package retryshare

import (
	"time"

	"github.com/papayapath/papayapath/pkg/importance"
)

const (
	// buckets is the number of buckets of a window.
	buckets = 40
	// settlingWindows is the number of windows in which a node that knows other servers has
	// no part of the slack yet: what its predecessor at the same server has spent leaves
	// the window in the first one, and others learn of a new server in the second one.
	settlingWindows = 2
	// holdWindows is the number of windows for which a server counts among those that
	// share the slack after it is no longer known. A node that is cut off from the others
	// knows few servers.
	holdWindows = 12
	// Whole is the part of a Share that is there for repeats of requests that may have run,
	// for calls of runs that are repeats, and for the most important requests.
	Whole = 1.0
	// levelPart is the part that the least important requests leave for the others.
	levelPart = 0.15
)

// Share is the part of the retry budget of a service that belongs to one of its servers.
//
// The budget of a window is a ratio of the requests in the window before it, and a slack.
// A Share takes the requests that were credited to it for that ratio, and an equal part of
// the slack. Each request is credited to one Share at most, so that the budgets of all
// Shares add up to at most that of the service, whichever servers the requests go to. The
// largest of several windows would not add up, and a request that counts for the window in
// which it is sent may come after the repeats.
//
// The times of all methods have to be elapsed times, which steps of the time of day do not
// change and which include the time for which the machine is suspended. A Share is not safe
// for concurrent use.
type Share struct {
	ratio, slack float64
	bucket       time.Duration
	origin       time.Time
	slackFrom    time.Time // zero if there is no part of the slack yet
	newest       int64     // index of the newest bucket since origin
	requests     [2 * buckets]float64
	repeats      [buckets + 2]float64
	servers      int // that share the slack
	serversAt    time.Time
}

// Option changes a default of New.
type Option func(*Share)

// WithoutPredecessor gives the Share its part of the slack from the start. It is for the
// first start of a whole system.
func WithoutPredecessor() Option { return func(s *Share) { s.slackFrom = s.origin } }

// New returns the Share of a node that starts now. In each window, all Shares of a service
// together grant ratio repeats for each of its requests, plus slack. A window is 1 us at
// least.
func New(now time.Time, ratio, slack float64, window time.Duration, options ...Option) *Share {
	window = max(window, time.Microsecond)
	s := &Share{ratio: ratio, slack: slack, bucket: window / buckets, origin: now, servers: 1, serversAt: now}
	for _, o := range options {
		o(s)
	}
	return s
}

// MaxDelay returns the longest time between the sending of a request and its credit, and
// between the grant of a repeat and its sending.
func (s *Share) MaxDelay() time.Duration { return s.bucket }

// Add credits n requests to the Share.
func (s *Share) Add(now time.Time, n float64) {
	s.requests[s.advance(now)%int64(len(s.requests))] += n
}

// SetServers sets the number of known servers of the service, its own included. A node that
// has never known another one may have been cut off since its start, and has no part of the
// slack.
func (s *Share) SetServers(now time.Time, n int) {
	if n > 1 && s.slackFrom.IsZero() {
		s.slackFrom = now.Add(settlingWindows * buckets * s.bucket)
	}
	if n >= s.servers || now.Sub(s.serversAt) > holdWindows*buckets*s.bucket {
		s.servers = max(1, n)
	}
	if n >= s.servers {
		s.serversAt = now
	}
}

// ResendPart returns the part of a Share that is there for requests of the given importance
// that a server has shed.
func ResendPart(level importance.Level) float64 {
	least := float64(importance.Critical-min(level, importance.Critical)) / float64(importance.Critical)
	return Whole - levelPart*least
}

// Covers reports whether a part of the Share covers n more repeats now, in each window that
// they fall into.
func (s *Share) Covers(now time.Time, part, n float64) bool {
	newest := s.advance(now)
	slack := 0.0
	if !s.slackFrom.IsZero() && !now.Before(s.slackFrom) {
		slack = s.slack / float64(s.servers)
	}
	// The windows that include now begin within one of the buckets from first to newest.
	// Each is paid by the requests of the whole buckets in the window before it, without
	// the oldest of them, whose requests may have been sent earlier still.
	first := newest - buckets
	requests, repeats := 0.0, n
	for i := first - buckets + 2; i < first; i++ {
		requests += s.requestsIn(i)
	}
	// Repeats may be sent one bucket after they were granted.
	for i := first - 1; i <= newest; i++ {
		repeats += s.repeatsIn(i)
	}
	for i := first; i <= newest; i++ {
		if repeats > part*(s.ratio*requests+slack) {
			return false
		}
		repeats -= s.repeatsIn(i - 1)
		requests += s.requestsIn(i) - s.requestsIn(i-buckets+2)
	}
	return true
}

// Spend spends n repeats, whether the Share covers them or not.
func (s *Share) Spend(now time.Time, n float64) {
	s.repeats[s.advance(now)%int64(len(s.repeats))] += n
}

// Return returns n repeats that were spent at a time and will not be sent.
func (s *Share) Return(now, spent time.Time, n float64) {
	newest, bucket := s.advance(now), int64(max(0, spent.Sub(s.origin))/s.bucket)
	if bucket > newest-int64(len(s.repeats)) && bucket <= newest {
		s.repeats[bucket%int64(len(s.repeats))] -= n
	}
}

func (s *Share) requestsIn(bucket int64) float64 {
	if bucket < 0 {
		return 0
	}
	return s.requests[bucket%int64(len(s.requests))]
}

func (s *Share) repeatsIn(bucket int64) float64 {
	if bucket < 0 {
		return 0
	}
	return s.repeats[bucket%int64(len(s.repeats))]
}

// advance clears the buckets that have left the windows and returns the index of the
// newest one. A time before it counts as part of it.
func (s *Share) advance(now time.Time) int64 {
	n := max(s.newest, int64(now.Sub(s.origin)/s.bucket))
	for i := max(s.newest+1, n-int64(len(s.requests))+1); i <= n; i++ {
		s.requests[i%int64(len(s.requests))] = 0
	}
	for i := max(s.newest+1, n-int64(len(s.repeats))+1); i <= n; i++ {
		s.repeats[i%int64(len(s.repeats))] = 0
	}
	s.newest = n
	return n
}
