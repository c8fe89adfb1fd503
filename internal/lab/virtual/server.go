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
	// runTimeSpread is the maximum relative deviation of run times from their mean.
	runTimeSpread = 0.2
	// localDelay is the one-way delay between a node and its backend server.
	localDelay = 50 * time.Microsecond
	// restartDelay is the time until a crashed backend server is up again.
	restartDelay = 500 * time.Millisecond
)

// server is a fake of a backend server.
type server struct {
	host       *host
	up         bool
	draining   bool
	slowdown   float64
	busySlots  int
	queue      []*run
	runs       map[attempt]*run
	restarts   int
	startTimes []time.Time // start times of all runs, counted by RunsSince
}

// run is the execution of one call on a server.
type run struct {
	offer        *message.Offer
	identity     wire.Identity
	deadline     time.Time
	steps        []labserver.Step
	size         int
	time         time.Duration
	historyIndex int  // index in the history
	done         bool // answered, aborted or lost
}

func newServer(h *host) *server {
	return &server{host: h, up: true, slowdown: 1, runs: make(map[attempt]*run)}
}

func (s *server) address() string {
	return fmt.Sprintf("127.0.0.1:%d", 20_000+100*s.host.index+s.restarts)
}

// accept receives a call from the node.
func (s *server) accept(o *message.Offer) {
	sim := s.host.simulation
	r := &run{offer: o, identity: wire.Read(get(o.Header)), deadline: sim.Now().Add(o.Remaining)}
	s.runs[attempt{o.Call, o.Attempt}] = r
	sim.AfterFunc(localDelay, func() { s.enqueue(r) })
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

func (s *server) enqueue(r *run) {
	switch {
	case r.done:
	case !s.up:
		s.end(r, message.Answer{Outcome: outcome.NotRun, Reason: outcome.Unavailable})
	case s.busySlots < s.host.service.Slots:
		s.begin(r)
	case len(s.queue) < s.host.service.Connections:
		s.queue = append(s.queue, r)
	default:
		s.end(r, message.Answer{Outcome: outcome.Complete, Status: http.StatusServiceUnavailable})
	}
}

// begin starts a run, unless its deadline has passed.
func (s *server) begin(r *run) {
	sim := s.host.simulation
	if !sim.Now().Before(r.deadline) {
		s.end(r, message.Answer{Outcome: outcome.Complete, Status: http.StatusGatewayTimeout})
		return
	}
	s.busySlots++
	s.startTimes = append(s.startTimes, sim.Now())
	r.historyIndex = sim.history.Start(history.Run{Identity: r.identity, Service: s.host.service.Name, Start: sim.Now()})
	if r.identity.Crash {
		sim.crashes++
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
	factor := s.slowdown * (1 + runTimeSpread*(2*sim.random.Float64()-1))
	r.time = time.Duration(float64(r.time) * factor)
	sim.AfterFunc(r.time/2, func() { s.step(r, 0) })
}

// step makes nested call n of a run, or finishes the run after the last one.
func (s *server) step(r *run, n int) {
	switch {
	case r.done:
	case n < len(r.steps):
		s.host.call(r.child(n), r.offer.Call, func(a *message.Answer) {
			if a.Outcome != outcome.Complete || a.Status != http.StatusOK {
				s.finish(r, http.StatusBadGateway)
				return
			}
			s.step(r, n+1)
		})
	default:
		s.host.simulation.AfterFunc(r.time/2, func() { s.finish(r, http.StatusOK) })
	}
}

// child returns the nested request of step n, with the identity of the customer's
// request.
func (r *run) child(n int) *dispatcher.Request {
	step := r.steps[n]
	identity := r.identity
	identity.WorkKey = ""
	if step.NonRepeatable {
		identity.WorkKey = fmt.Sprintf("%s/%s/%d", r.identity.Root, r.identity.WorkKey, n)
	}
	return newRequest(dispatcher.Backend, step.Service, step.Method, step.Path, identity, "")
}

// newRequest returns the dispatcher request that an adapter would create from an
// HTTP request.
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

// finish ends a run with a status, unless it is done.
func (s *server) finish(r *run, status int) {
	if r.done {
		return
	}
	s.release(r)
	if !s.host.simulation.Now().Before(r.deadline) {
		status = http.StatusGatewayTimeout
	}
	s.end(r, message.Answer{Outcome: outcome.Complete, Status: status, Length: int64(r.size)})
}

// release frees the slot of a run and starts queued runs.
func (s *server) release(r *run) {
	s.host.simulation.history.End(r.historyIndex, s.host.simulation.Now())
	s.busySlots--
	for s.up && s.busySlots < s.host.service.Slots && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if !next.done {
			s.begin(next)
		}
	}
}

// end reports the end of a run to the node.
func (s *server) end(r *run, a message.Answer) {
	r.done = true
	h := s.host
	delete(s.runs, attempt{r.offer.Call, r.offer.Attempt})
	call, number := r.offer.Call, r.offer.Attempt
	incarnation := h.id
	h.simulation.AfterFunc(localDelay, func() {
		if h.up && h.id == incarnation {
			h.runDecision(func(now time.Time, out *node.Output) { h.node.Done(now, call, number, a, nil, out) })
		}
	})
}

// abort cancels a run without undoing its effects.
func (s *server) abort(id attempt) {
	r, ok := s.runs[id]
	if !ok || r.done {
		return
	}
	started := r.time > 0
	s.end(r, message.Answer{Outcome: outcome.Unknown, Reason: outcome.Canceled})
	if started {
		s.release(r)
	}
}

// crash fails all runs. The server restarts at another address after
// restartDelay.
func (s *server) crash() {
	if !s.up {
		return
	}
	s.up = false
	for _, r := range s.runs {
		if !r.done {
			s.end(r, message.Answer{Outcome: outcome.Unknown, Reason: outcome.Crashed})
		}
	}
	s.busySlots, s.queue = 0, nil
	s.host.runDecision(s.host.node.Lose)
	s.host.simulation.AfterFunc(restartDelay, func() {
		s.restarts++
		s.up = true
	})
}
