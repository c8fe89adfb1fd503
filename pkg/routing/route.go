package routing

import (
	"iter"
	"math/rand/v2"
	"time"

	"github.com/papayapath/papayapath/pkg/importance"
)

// Route defines how the requests that match it are handled.
type Route struct {
	name        string
	prefix      string
	repeatable  bool
	open        bool
	level       importance.Level
	timeout     time.Duration
	objective   time.Duration
	maxAttempts int
	services    []weightedService
	totalWeight int
}

// weightedService is one of the services that a route distributes requests to.
type weightedService struct {
	service       string
	weight        int
	currentWeight int
}

// RouteOption sets a property of a Route.
type RouteOption func(*Route)

// WithRepeatable sets whether a request may run more than once.
func WithRepeatable(yes bool) RouteOption { return func(r *Route) { r.repeatable = yes } }

// WithOpen sets whether requests need no API key.
func WithOpen(yes bool) RouteOption { return func(r *Route) { r.open = yes } }

// WithLevel sets the importance of the requests.
func WithLevel(l importance.Level) RouteOption { return func(r *Route) { r.level = l } }

// WithTimeout sets the time within which a request gets its final response.
func WithTimeout(d time.Duration) RouteOption { return func(r *Route) { r.timeout = d } }

// WithObjective sets the latency objective.
func WithObjective(d time.Duration) RouteOption { return func(r *Route) { r.objective = d } }

// WithMaxAttempts sets the maximum number of servers that a request is sent to.
func WithMaxAttempts(n int) RouteOption { return func(r *Route) { r.maxAttempts = n } }

// WithWeightedService adds a service and its weight. random sets the initial
// position in the round robin, so that nodes with few requests do not all start
// with the same service.
func WithWeightedService(service string, weight int, random *rand.Rand) RouteOption {
	return func(r *Route) {
		r.services = append(r.services, weightedService{service: service, weight: weight, currentWeight: random.IntN(weight + 1)})
		r.totalWeight += weight
	}
}

// NewRoute returns a route for requests whose path starts with prefix.
func NewRoute(name, prefix string, options ...RouteOption) *Route {
	r := &Route{name: name, prefix: prefix, maxAttempts: 1}
	for _, o := range options {
		o(r)
	}
	return r
}

// Name returns the name of the route in the configuration.
func (r *Route) Name() string { return r.name }

// Prefix returns the beginning of the paths that the route matches.
func (r *Route) Prefix() string { return r.prefix }

// Services yields the services of the route with their weights.
func (r *Route) Services() iter.Seq2[string, int] {
	return func(yield func(string, int) bool) {
		for _, s := range r.services {
			if !yield(s.service, s.weight) {
				return
			}
		}
	}
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.repeatable }

// Open reports whether requests need no API key.
func (r *Route) Open() bool { return r.open }

// Level returns the importance of the requests.
func (r *Route) Level() importance.Level { return r.level }

// Timeout returns the time within which a request gets its final response, or 0
// if there is none.
func (r *Route) Timeout() time.Duration { return r.timeout }

// Objective returns the latency objective, or 0 if there is none.
func (r *Route) Objective() time.Duration { return r.objective }

// Useful returns the time within which an answer is in time: the latency objective or, if
// that is longer, the time-out. It is 0 if there is neither.
func (r *Route) Useful() time.Duration {
	if r.timeout > 0 && (r.objective == 0 || r.timeout < r.objective) {
		return r.timeout
	}
	return r.objective
}

// MaxAttempts returns the maximum number of servers that a request is sent to.
func (r *Route) MaxAttempts() int { return r.maxAttempts }

// ChooseService returns the service for the next request by smooth weighted
// round robin, or "" if the total weight is 0.
func (r *Route) ChooseService() string {
	if r.totalWeight == 0 {
		return ""
	}
	best := 0
	for i := range r.services {
		s := &r.services[i]
		s.currentWeight += s.weight
		if s.currentWeight > r.services[best].currentWeight {
			best = i
		}
	}
	r.services[best].currentWeight -= r.totalWeight
	return r.services[best].service
}
