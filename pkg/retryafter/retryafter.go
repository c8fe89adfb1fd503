package retryafter

import "time"

const (
	// maxFraction is the largest delay as a fraction of the remaining time.
	// Clients accept a delay of up to a third.
	maxFraction = 0.33
	// minJitterNoCapacity and minJitter are the lower bounds of the random
	// factor on the delay, for a lack of capacity and for other reasons.
	minJitterNoCapacity = 0.25
	minJitter           = 0.5
	// minDelay covers reconnecting two nodes.
	minDelay = 50 * time.Millisecond
	// defaultLatencyFraction is the latency assumed for a route of unknown
	// latency, as a fraction of the objective.
	defaultLatencyFraction = 1.0 / 3
	// latencyMargin is the time that most responses need at most, as a multiple
	// of the mean latency of the route.
	latencyMargin = 1.5
)

// Rejection describes a rejected request, which has not run and will not run.
type Rejection struct {
	// Remaining is the time until the client gives up.
	Remaining time.Duration
	// Objective is the time until the latency objective is missed: negative if
	// it was already missed, and 0 if the route has no objective.
	Objective time.Duration
	// Latency is the mean latency of the route, or 0 if it is unknown.
	Latency time.Duration
	// NoCapacity reports that no server had capacity in time. Capacity may
	// become free at any moment, whereas other causes, such as a restart, last
	// for some time.
	NoCapacity bool
}

// Slack returns the longest delay after which the request can still meet its latency
// objective. It is negative if there is none.
func (r Rejection) Slack() time.Duration {
	latency := float64(r.Latency)
	if r.Latency == 0 {
		latency = defaultLatencyFraction * float64(r.Objective)
	}
	return time.Duration(float64(r.Objective) - latencyMargin*latency)
}

// Delay returns the delay after which the client should retry. random is in
// [0, 1) and adds jitter, so that clients rejected together do not retry
// together.
func (r Rejection) Delay(random float64) time.Duration {
	maxDelay, jitter := maxFraction*float64(r.Remaining), minJitter
	if slack := float64(r.Slack()); slack > float64(minDelay) && slack < maxDelay {
		maxDelay = slack
	}
	if r.NoCapacity {
		jitter = minJitterNoCapacity
	}
	return max(minDelay, time.Duration((jitter+(1-jitter)*random)*maxDelay))
}
