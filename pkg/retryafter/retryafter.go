package retryafter

import "time"

const (
	// part is the part of the time left after which a client comes back at the
	// latest. Clients wait up to a third.
	part = 0.33
	// early and half are the parts of the time to come back from which on it is
	// spread: for want of places and for other reasons.
	early = 0.25
	half  = 0.5
	// shortest covers the restart of a connection between nodes.
	shortest = 50 * time.Millisecond
	// unknown is the latency that is assumed if none is known, as a part of the
	// objective.
	unknown = 1.0 / 3
	// latencies is the time that an answer takes at most as a rule, in mean
	// latencies of the route.
	latencies = 1.5
)

// Rejection is a request that has not run and never will.
type Rejection struct {
	// Remaining is the time for which the client still waits.
	Remaining time.Duration
	// Objective is the time until the latency objective has passed, or less
	// than zero.
	Objective time.Duration
	// Latency is the mean latency of the route, or 0 if it is unknown.
	Latency time.Duration
	// NoCapacity says that servers had no place in time, which is as likely to be
	// over soon as late. Other reasons, such as a restart, take time to pass.
	NoCapacity bool
}

// Delay returns after what time the client is asked to come back. random
// is in [0, 1) and spreads the returns of clients that are refused together.
func (r Rejection) Delay(random float64) time.Duration {
	longest, from := part*float64(r.Remaining), half
	latency := float64(r.Latency)
	if r.Latency == 0 {
		latency = unknown * float64(r.Objective)
	}
	if spare := float64(r.Objective) - latencies*latency; spare > float64(shortest) && spare < longest {
		longest = spare
	}
	if r.NoCapacity {
		from = early
	}
	return max(shortest, time.Duration((from+(1-from)*random)*longest))
}
