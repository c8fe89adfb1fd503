package roster

import "time"

const (
	// fullWeightAge is the age up to which a report counts in full.
	fullWeightAge = 200 * time.Millisecond
	// loadExpiry is the age from which a reported load is ignored.
	loadExpiry = 2 * time.Second
	// maxLoadExpiry bounds the age from which the load of a server with a limit
	// is ignored.
	maxLoadExpiry = time.Minute
	// penaltyExpiry is the age from which a reported service time or failure
	// rate above the normal is ignored. It exceeds loadExpiry because probing a
	// slow server costs a slow request.
	penaltyExpiry = 8 * time.Second
	// minFreeFraction is the free fraction of the capacity below which the cost
	// of a server grows linearly with its load instead of hyperbolically.
	minFreeFraction = 0.1
	// minServiceTime is the smallest service time used, and the default where
	// none has been reported.
	minServiceTime = time.Millisecond
	// failureWeight is the weight of one answer in the failure rate.
	failureWeight = 1.0 / 16
	// minSuccessRate is the lower bound of the success rate. It keeps some
	// requests on a server that fails all of them, to detect its recovery.
	minSuccessRate = 0.1
	// sheddingThreshold is the failure rate from which the choice of a server
	// depends on the retry budget. Any service has a few failures.
	sheddingThreshold = 0.1
	// A server in another failure domain is charged remoteDivisor-th of its
	// service time and one round trip, remoteLatency, so that requests stay in
	// the own failure domain while that does not delay the caller.
	remoteDivisor = 8
	remoteLatency = 3 * time.Millisecond
)

// server is the state of one backend server as seen by this node.
type server struct {
	node       string
	service    string
	slots      int
	sameDomain bool
	report     Report
	sent       int // offers since the last report
	inFlight   int // offers that have not ended
	reported   time.Time
	// failureRate is the weighted mean rate of failures among recent answers.
	failureRate float64
	outlook     outlook
}

// limit returns the concurrency limit that the server reported, or else announced.
func (s *server) limit() int {
	if s.report.Limit == 0 {
		return max(1, s.slots)
	}
	return s.report.Limit
}

// cost estimates the latency of a further request at the server: its service
// time divided by the free fraction of its capacity and by the square of its
// success rate. A server in another failure domain has a surcharge.
//
// Reports lose weight with age, so that a server which was full or slow receives
// requests again whose answers show its present state: the load decays to zero
// and a long service time to typical, the mean of the other servers. A server
// that has not reported yet is assumed to be typical as well.
func (s *server) cost(now time.Time, typical time.Duration) time.Duration {
	age := now.Sub(s.reported)
	serviceTime := s.report.Time
	switch {
	case serviceTime == 0:
		serviceTime = typical
	case serviceTime > typical:
		serviceTime = typical + time.Duration(decay(age, fullWeightAge, penaltyExpiry)*float64(serviceTime-typical))
	}
	serviceTime = max(serviceTime, minServiceTime)
	load := decay(age, fullWeightAge, s.report.loadExpiry())*float64(s.report.Load) + float64(s.sent)
	free := 1 - max(load, float64(s.inFlight))/float64(s.limit())
	if free < minFreeFraction {
		// Beyond the limit, each further request waits for another one.
		free = minFreeFraction / (1 + (minFreeFraction-free)/minFreeFraction)
	}
	if !s.sameDomain {
		serviceTime += serviceTime/remoteDivisor + remoteLatency
	}
	success := max(minSuccessRate, 1-s.expectedFailureRate(now))
	return time.Duration(float64(serviceTime) / (free * success * success))
}

// expectedFailureRate returns the failure rate, reduced by the age of the last
// report.
func (s *server) expectedFailureRate(now time.Time) float64 {
	return decay(now.Sub(s.reported), fullWeightAge, penaltyExpiry) * s.failureRate
}

// requiredRetries returns the number of retries that the retry budget must have
// to send a further request: one for the request itself and the expected number
// for the offers in flight.
func (s *server) requiredRetries(now time.Time) float64 {
	return 1 + s.expectedFailureRate(now)*float64(s.inFlight)
}

// decay returns the weight of a report at an age. It falls linearly from 1 at
// the age from to 0 at the age to.
func decay(age, from, to time.Duration) float64 {
	return max(0, min(1, 1-float64(age-from)/float64(to-from)))
}

// loadExpiry returns the age from which the reported load is ignored. If the
// server names a limit, all nodes together would otherwise try it more often than
// it takes requests, while other servers have room.
func (r Report) loadExpiry() time.Duration {
	if r.Share <= 0 {
		return loadExpiry
	}
	return time.Duration(max(float64(loadExpiry), min(float64(maxLoadExpiry), float64(time.Second)/r.Share)))
}
