package dispatcher

import (
	"net/http"
	"time"

	"github.com/papayapath/papayapath/pkg/balancer"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/latency"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/priority"
	"github.com/papayapath/papayapath/pkg/threshold"
)

// maxRoutes bounds the routes that are remembered; paths come from callers.
const maxRoutes = 4096

// route is what is known of the calls of one route beyond the service itself.
type route struct {
	service    string
	downstream threshold.Estimate // met by the runs of the route further down
	fastest    balancer.Window    // of answer times
	answer     latency.Estimator
}

// route returns the record of a route of a service.
func (d *Dispatcher) route(id message.Route, service string) *route {
	if r, ok := d.routes.Get(id); ok {
		return r
	}
	r := &route{service: service}
	d.routes.Add(id, r)
	return r
}

// learn takes over what the answer to an attempt that was sent elapsed ago
// tells of the route. Errors and refusals are often quicker than a run.
func (r *route) learn(now time.Time, elapsed time.Duration, a *message.Answer) {
	r.downstream.Update(now, a.DownstreamThreshold)
	if a.Outcome == outcome.Complete && a.Status < http.StatusInternalServerError {
		r.fastest.Add(now, elapsed)
		r.answer.Add(elapsed)
	}
}

// admits reports whether a call of priority p may go on towards the services
// that its run will call. A Critical call may always try, since those services
// may make room for it.
func (r *route) admits(now time.Time, p priority.Priority) bool {
	if p.Level() >= importance.Critical {
		return true
	}
	if !r.downstream.Admits(now, p) {
		return false
	}
	if value, _ := r.downstream.LastUpdate(); p < value {
		r.downstream.MarkProbe(now)
	}
	return true
}

// Floor returns the threshold that a call of a route meets at its service or
// further down, or 0 if nothing is known of the route.
func (d *Dispatcher) Floor(now time.Time, id message.Route) priority.Priority {
	r, ok := d.routes.Peek(id)
	if !ok {
		return 0
	}
	floor := r.downstream.At(now)
	if b, ok := d.services[r.service]; ok {
		floor = max(floor, b.Floor(now))
	}
	return floor
}
