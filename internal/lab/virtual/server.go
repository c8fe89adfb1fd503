package virtual

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/papayapath/papayapath/internal/lab/history"
	labserver "github.com/papayapath/papayapath/internal/lab/server"
	"github.com/papayapath/papayapath/internal/lab/wire"
	"github.com/papayapath/papayapath/pkg/dispatcher"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/node"
	"github.com/papayapath/papayapath/pkg/outcome"
)

const (
	// spread is the spread of run times as a fraction of their mean.
	spread = 0.2
	// handOver is the time between a node and its own backend server.
	handOver = 50 * time.Microsecond
	// restartTime is how long a crashed backend server stays away.
	restartTime = 500 * time.Millisecond
)

// server is a fake of a backend server.
type server struct {
	host     *host
	up       bool
	draining bool
	slow     float64
	busy     int
	waiting  []*run
	runs     map[attempt]*run
	restarts int
	started  []time.Time // of runs, for checks of where work went
}

// run is one call on a server.
type run struct {
	offer    *message.Offer
	identity wire.Identity
	deadline time.Time
	steps    []labserver.Step
	size     int
	time     time.Duration
	record   int  // number in the history
	over     bool // answered, aborted or lost
}

func newServer(h *host) *server {
	return &server{host: h, up: true, slow: 1, runs: make(map[attempt]*run)}
}

func (s *server) address() string {
	return fmt.Sprintf("127.0.0.1:%d", 20_000+100*s.host.index+s.restarts)
}

// accept takes a call that the node hands over.
func (s *server) accept(o *message.Offer) {
	w := s.host.world
	r := &run{offer: o, identity: wire.Read(get(o.Header)), deadline: w.Now().Add(o.Remaining)}
	s.runs[attempt{o.Call, o.Attempt}] = r
	w.AfterFunc(handOver, func() { s.enter(r) })
}

func get(header []message.Field) wire.Get {
	return func(name string) string {
		for _, f := range header {
			if strings.EqualFold(f.Name, name) {
				return f.Value
			}
		}
		return ""
	}
}

func (s *server) enter(r *run) {
	switch {
	case r.over:
	case !s.up:
		s.end(r, message.Answer{Outcome: outcome.NotRun, Reason: outcome.Unavailable})
	case s.busy < s.host.service.Slots:
		s.begin(r)
	case len(s.waiting) < s.host.service.Connections:
		s.waiting = append(s.waiting, r)
	default:
		s.end(r, message.Answer{Outcome: outcome.Complete, Status: http.StatusServiceUnavailable})
	}
}

// begin starts a run, unless its deadline has passed.
func (s *server) begin(r *run) {
	w := s.host.world
	if !w.Now().Before(r.deadline) {
		s.end(r, message.Answer{Outcome: outcome.Complete, Status: http.StatusGatewayTimeout})
		return
	}
	s.busy++
	s.started = append(s.started, w.Now())
	r.record = w.history.Start(history.Run{Identity: r.identity, Service: s.host.service.Name, Start: w.Now()})
	if r.identity.Crash {
		w.crashes++
		s.crash()
		return
	}
	r.time = s.host.service.Run
	for _, p := range s.host.service.Paths {
		if strings.HasPrefix(r.offer.Path, p.Prefix) {
			r.steps, r.size = p.Steps, p.Size
			if p.Run > 0 {
				r.time = p.Run
			}
			break
		}
	}
	factor := s.slow * (1 + spread*(2*w.random.Float64()-1))
	r.time = time.Duration(float64(r.time) * factor)
	w.AfterFunc(r.time/2, func() { s.step(r, 0) })
}

// step makes the next call of a run, or ends it.
func (s *server) step(r *run, n int) {
	switch {
	case r.over:
	case n < len(r.steps):
		s.host.call(r.child(n), r.offer.Call, func(a *message.Answer) {
			if a.Outcome != outcome.Complete || a.Status != http.StatusOK {
				s.finish(r, http.StatusBadGateway)
				return
			}
			s.step(r, n+1)
		})
	default:
		s.host.world.AfterFunc(r.time/2, func() { s.finish(r, http.StatusOK) })
	}
}

// child returns the request of one step, which carries the identity of the
// customer's request along.
func (r *run) child(n int) *dispatcher.Request {
	step := r.steps[n]
	identity := r.identity
	identity.WorkKey = ""
	if step.NonRepeatable {
		identity.WorkKey = fmt.Sprintf("%s/%s/%d", r.identity.Root, r.identity.WorkKey, n)
	}
	return newRequest(dispatcher.Backend, step.Service, step.Method, step.Path, identity, "")
}

// newRequest returns what an adapter would make of an HTTP request.
func newRequest(origin dispatcher.Origin, service, method, path string, identity wire.Identity, body string) *dispatcher.Request {
	q := &dispatcher.Request{
		Origin: origin, Service: service, Method: method, Path: path,
		Length: int64(len(body)), Digest: xxhash.Sum64String(body),
		Content: xxhash.Sum64String(service + "\x00" + method + "\x00" + path + "\x00" + body),
	}
	identity.Write(func(name, value string) {
		q.Header = append(q.Header, message.Field{Name: name, Value: value})
	})
	return q
}

// finish ends a run with a status, unless it is over.
func (s *server) finish(r *run, status int) {
	if r.over {
		return
	}
	s.release(r)
	if !s.host.world.Now().Before(r.deadline) {
		status = http.StatusGatewayTimeout
	}
	s.end(r, message.Answer{Outcome: outcome.Complete, Status: status, Length: int64(r.size)})
}

// release frees the slot of a run and starts the next one.
func (s *server) release(r *run) {
	s.host.world.history.End(r.record, s.host.world.Now())
	s.busy--
	for s.up && s.busy < s.host.service.Slots && len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		if !next.over {
			s.begin(next)
		}
	}
}

// end reports the end of a run to the node.
func (s *server) end(r *run, a message.Answer) {
	r.over = true
	h := s.host
	delete(s.runs, attempt{r.offer.Call, r.offer.Attempt})
	call, number := r.offer.Call, r.offer.Attempt
	life := h.id
	h.world.AfterFunc(handOver, func() {
		if h.up && h.id == life {
			h.do(func(now time.Time, out *node.Output) { h.node.Done(now, call, number, a, nil, out) })
		}
	})
}

// abort cancels a run; what it did stays done.
func (s *server) abort(id attempt) {
	r, ok := s.runs[id]
	if !ok || r.over {
		return
	}
	started := r.time > 0
	s.end(r, message.Answer{Outcome: outcome.Unknown, Reason: outcome.Canceled})
	if started {
		s.release(r)
	}
}

// crash loses all runs. The server comes back at another address.
func (s *server) crash() {
	if !s.up {
		return
	}
	s.up = false
	for _, r := range s.runs {
		if !r.over {
			s.end(r, message.Answer{Outcome: outcome.Unknown, Reason: outcome.Crashed})
		}
	}
	s.busy, s.waiting = 0, nil
	s.host.do(s.host.node.Lose)
	s.host.world.AfterFunc(restartTime, func() {
		s.restarts++
		s.up = true
	})
}
