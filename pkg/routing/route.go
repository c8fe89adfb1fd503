package routing

import (
	"math/rand/v2"
	"time"

	"github.com/papayapath/papayapath/pkg/importance"
)

// Route says how the requests of one class are handled.
type Route struct {
	name       string
	prefix     string
	repeatable bool
	level      importance.Level
	timeout    time.Duration
	objective  time.Duration
	attempts   int
	parts      []part
	total      int
}

// part is one of the services among which a route is split.
type part struct {
	service string
	weight  int
	credit  int
}

// RouteOption sets a property of a Route.
type RouteOption func(*Route)

// WithRepeatable says that the requests of the route may run more than once.
func WithRepeatable(yes bool) RouteOption { return func(r *Route) { r.repeatable = yes } }

// WithLevel sets the importance of the requests.
func WithLevel(l importance.Level) RouteOption { return func(r *Route) { r.level = l } }

// WithTimeout sets the time after which a request gets its final answer.
func WithTimeout(d time.Duration) RouteOption { return func(r *Route) { r.timeout = d } }

// WithObjective sets the latency objective.
func WithObjective(d time.Duration) RouteOption { return func(r *Route) { r.objective = d } }

// WithMaxAttempts sets the largest number of servers that a request is sent to.
func WithMaxAttempts(n int) RouteOption { return func(r *Route) { r.attempts = n } }

// WithWeightedService adds a service and its weight. random places the first choice, so
// that nodes with few requests do not all begin with the same service.
func WithWeightedService(service string, weight int, random *rand.Rand) RouteOption {
	return func(r *Route) {
		r.parts = append(r.parts, part{service: service, weight: weight, credit: random.IntN(weight + 1)})
		r.total += weight
	}
}

// NewRoute returns a route of the requests whose path begins with prefix.
func NewRoute(name, prefix string, options ...RouteOption) *Route {
	r := &Route{name: name, prefix: prefix, attempts: 1}
	for _, o := range options {
		o(r)
	}
	return r
}

// Name returns the name that the operator gave to the route.
func (r *Route) Name() string { return r.name }

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.repeatable }

// Level returns the importance of the requests.
func (r *Route) Level() importance.Level { return r.level }

// Timeout returns the time after which a request gets its final answer, or 0
// for none.
func (r *Route) Timeout() time.Duration { return r.timeout }

// Objective returns the latency objective, or 0 for none.
func (r *Route) Objective() time.Duration { return r.objective }

// MaxAttempts returns the largest number of servers that a request is sent to.
func (r *Route) MaxAttempts() int { return r.attempts }

// ChooseService returns the service of the next request, by smooth weighted round
// robin. It returns "" if no service has a weight.
func (r *Route) ChooseService() string {
	if r.total == 0 {
		return ""
	}
	best := 0
	for i := range r.parts {
		p := &r.parts[i]
		p.credit += p.weight
		if p.credit > r.parts[best].credit {
			best = i
		}
	}
	r.parts[best].credit -= r.total
	return r.parts[best].service
}
