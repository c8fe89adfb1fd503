package demand

import (
	"slices"
	"time"

	"github.com/papayapath/papayapath/pkg/shedding"
)

const (
	// newsTime is the time over which the rates that answers tell are averaged. The
	// servers of a service tell different ones.
	newsTime = 100 * time.Millisecond
	// probeInterval is the time without news of a shedding service after which a request
	// is admitted whatever its demand: nothing else tells when the service has recovered.
	probeInterval = time.Second
	// maxRate bounds the rate at which a service is taken to shed. It bounds the expected
	// number of attempts of one call by 10.
	maxRate = 0.9
	// begunTime is the time for which an admitted request makes calls, roughly. Requests
	// that were admitted within it before a service began to shed need retries too.
	begunTime = 500 * time.Millisecond
	// reportTime is the time for which the rate of a server counts. A node that calls a
	// service seldom does not hear of each server more often.
	reportTime = 2 * time.Second
	// creditIntervals is the number of intervals of a window. A request gives credit in the
	// interval in which it is counted and the next one: after that it might count in another
	// window than the observer's.
	creditIntervals = 160
	// refusalTime is the time for which a refused request holds back the retries of less
	// important ones. Requests of a kind that is refused come more often than that.
	refusalTime = time.Second
)

// Gate decides at an entry node whether the retry budgets of the services that a request
// calls are likely to cover its calls. If servers shed the part s of what they get, each
// call is expected to need s/(1-s) retries. A node that makes calls uses a Gate as well,
// for the rates alone.
//
// A Gate is not safe for concurrent use.
type Gate struct {
	ratio, slack float64
	window       time.Duration
	services     map[string]*service
	origin       time.Time // of the intervals of credit
}

// service is what a Gate knows about one service.
type service struct {
	bucket      *bucket
	rate        float64   // part of the requests that its servers shed
	heard       time.Time // time of the last answer that told the rate, or of the last probe
	servers     []report  // rates of the servers that this node calls, nil if none sheds
	uncredited  [2]int    // requests and calls of this node that no server has been told, by interval
	interval    int64     // index of the newest interval
	charged     float64   // retries for each call that were charged for requests begun before
	refused     time.Time // time of the last refusal
	refusedRank float64   // rank of the most important request refused about then
}

// report is the rate at which one server sheds.
type report struct {
	server string
	rate   float64
	at     time.Time
}

// New returns a gate that admits all requests. In each window, the retries of requests
// that it admits are limited to ratio times the calls that they cause, plus slack.
func New(ratio, slack float64, window time.Duration) *Gate {
	return &Gate{ratio: ratio, slack: slack, window: max(window, time.Microsecond), services: make(map[string]*service)}
}

// SetSlack sets the part of the budget that does not depend on the calls.
func (g *Gate) SetSlack(slack float64) {
	g.slack = slack
	for _, s := range g.services {
		s.bucket.slack = slack
	}
}

// Allows reports whether a request of the given importance, a rank from 0 to 1, that
// makes calls to a service may be admitted.
func (g *Gate) Allows(now time.Time, name string, rank float64) bool {
	s := g.services[name]
	if s == nil || s.retries() == 0 {
		return true
	}
	if now.Sub(s.heard) > probeInterval {
		s.heard = now
		return true
	}
	if s.bucket.hasRoom(now, rank) {
		return true
	}
	if now.Sub(s.refused) > refusalTime || rank >= s.refusedRank {
		s.refused, s.refusedRank = now, rank
	}
	return false
}

// Begin records the admission of a request that makes a number of calls to a service.
func (g *Gate) Begin(now time.Time, name string, calls float64) {
	s := g.service(name)
	s.bucket.calls.Add(now, calls)
	if r := s.retries(); r > 0 {
		s.bucket.take(now, calls*r)
	}
}

// BeginOwn records the admission of a request that this node sends to a service. Its
// retries are charged when they are needed: a request that is shed has cost nothing yet.
func (g *Gate) BeginOwn(now time.Time, name string) { g.service(name).bucket.calls.Add(now, 1) }

// Count records a request or call of a service that this node is about to send, and for
// which a server will get credit. The time has to have a monotonic reading, or steps of the
// time of day take credit away.
func (g *Gate) Count(now time.Time, name string) {
	s := g.service(name)
	g.expireCredit(now, s)
	s.uncredited[s.interval%2]++
}

// Credit returns the number of requests and calls that a server is told with an offer. The
// retry budget is spent at the servers, in proportion to them. A server that sheds while
// others do not gets none, since calls that it sheds are sent again to the others.
func (g *Gate) Credit(now time.Time, name, server string) int {
	s := g.service(name)
	if i := s.indexOf(server); i >= 0 && s.servers[i].rate > 0 && s.retries() == 0 {
		return 0
	}
	g.expireCredit(now, s)
	n := s.uncredited[0] + s.uncredited[1]
	s.uncredited = [2]int{}
	return n
}

// CreditTime returns the longest time between the count of a request and its credit.
func (g *Gate) CreditTime() time.Duration { return 2 * g.window / creditIntervals }

// expireCredit removes the requests that give no credit any more.
func (g *Gate) expireCredit(now time.Time, s *service) {
	if g.origin.IsZero() {
		g.origin = now
	}
	n := int64(now.Sub(g.origin) / max(1, g.window/creditIntervals))
	switch n - s.interval {
	case 0:
	case 1:
		s.uncredited[n%2] = 0
	default:
		s.uncredited = [2]int{}
	}
	s.interval = n
}

// AllowsRetry reports whether a request that this node has sent to a service may be sent
// again, and charges the retry. The nodes beside the servers limit the number; this one
// holds back what a more important request is refused for.
func (g *Gate) AllowsRetry(now time.Time, name string, rank float64) bool {
	s := g.service(name)
	if now.Sub(s.refused) < refusalTime && rank < s.refusedRank {
		return false
	}
	s.bucket.take(now, 1)
	return true
}

// LearnServer records the rate at which a server sheds, one of a number of servers of its
// service. The service counts as shedding if each server does that has answered lately:
// otherwise calls can avoid those that shed.
func (g *Gate) LearnServer(now time.Time, name, server string, rate float64, servers int) {
	s := g.services[name]
	if rate = bounded(rate); rate == 0 && (s == nil || s.servers == nil && s.rate == 0) {
		return
	}
	s = g.service(name)
	if i := s.indexOf(server); i >= 0 {
		s.servers[i].rate, s.servers[i].at = rate, now
	} else {
		s.servers = append(s.servers, report{server, rate, now})
	}
	s.servers = slices.DeleteFunc(s.servers, func(r report) bool { return now.Sub(r.at) > reportTime })
	sum, shed := 0.0, 0
	for _, r := range s.servers {
		if r.rate > 0 {
			sum += r.rate
			shed++
		}
	}
	switch {
	case shed < len(s.servers):
		g.Learn(now, name, 0)
	case 2*shed >= servers:
		g.Learn(now, name, sum/float64(shed))
	}
	if shed == 0 {
		s.servers = nil
	}
}

// Learn records the rate at which an answer says that a service sheds.
func (g *Gate) Learn(now time.Time, name string, rate float64) {
	s := g.services[name]
	if rate = bounded(rate); rate == 0 && (s == nil || s.rate == 0) {
		return
	}
	s = g.service(name)
	s.rate += max(0, min(1, float64(now.Sub(s.heard))/float64(newsTime))) * (rate - s.rate)
	s.heard = now
	if rate == 0 && s.rate < shedding.Threshold {
		s.rate = 0
	}
	switch r := s.retries(); {
	case r == 0:
		s.charged = 0
	case r > s.charged:
		s.bucket.take(now, (r-s.charged)*s.bucket.calls.Recent(now, begunTime))
		s.charged = r
	}
}

// IsCalm reports whether no service or server is known to shed.
func (g *Gate) IsCalm() bool {
	for _, s := range g.services {
		if s.rate > 0 || s.servers != nil {
			return false
		}
	}
	return true
}

// bounded returns a rate that another node tells, within its range.
func bounded(rate float64) float64 {
	if !(rate > 0) { // not a number either
		return 0
	}
	return min(maxRate, rate)
}

// Rate returns the part of its requests that a service is known to shed, or 0 if it is
// not worth mentioning.
func (g *Gate) Rate(name string) float64 {
	if s := g.services[name]; s != nil && s.retries() > 0 {
		return s.rate
	}
	return 0
}

// Rates calls yield for the services that are known to shed now, with the rate.
func (g *Gate) Rates(now time.Time, yield func(name string, rate float64)) {
	for name, s := range g.services {
		if s.retries() > 0 && now.Sub(s.heard) < probeInterval {
			yield(name, s.rate)
		}
	}
}

func (g *Gate) service(name string) *service {
	s := g.services[name]
	if s == nil {
		s = &service{bucket: newBucket(g.ratio, g.slack, g.window)}
		g.services[name] = s
	}
	return s
}

// indexOf returns the index of the report of a server, or -1.
func (s *service) indexOf(server string) int {
	return slices.IndexFunc(s.servers, func(r report) bool { return r.server == server })
}

// retries returns the expected number of retries for one call.
func (s *service) retries() float64 {
	if s.rate < shedding.Threshold {
		return 0
	}
	return s.rate / (1 - s.rate)
}
