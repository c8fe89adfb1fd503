package server

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/lab/history"
	"github.com/papayapath/papayapath/internal/lab/jsonbody"
)

// Paths of the endpoints that every server has in addition to those of its
// service.
const (
	healthPath  = "/health"
	loadPath    = "/load"
	runsPath    = "/runs"
	controlPath = "/control"
)

// Control is a change of a server's behavior. Nil fields leave the current
// behavior unchanged.
type Control struct {
	SlowBy        *float64 `json:"slow,omitempty"`   // factor applied to all run times
	Paused        *bool    `json:"paused,omitempty"` // suspend all runs and responses
	ReportLag     *int     `json:"lag,omitempty"`    // age of the reported health and load in ms
	ReportHealthy *bool    `json:"lie,omitempty"`    // always report healthy and no load
	Crash         bool     `json:"crash,omitempty"`
}

// Apply applies the changes in c.
func (s *Server) Apply(c Control) {
	if c.SlowBy != nil {
		s.SlowBy(*c.SlowBy)
	}
	if c.Paused != nil {
		s.SetPaused(*c.Paused)
	}
	s.reports.set(c)
	if c.Crash {
		s.Crash()
	}
}

// handleControl handles requests to the control and status endpoints, and
// returns false for any other request. While the server is paused, health and
// load requests block.
func (s *Server) handleControl(serverCtx context.Context, r *fasthttp.RequestCtx) bool {
	switch string(r.Path()) {
	case healthPath:
		s.runTimer.waitResumed(serverCtx)
		jsonbody.Write(r, struct {
			Healthy bool `json:"healthy"`
		}{s.state().healthy})
	case loadPath:
		s.runTimer.waitResumed(serverCtx)
		jsonbody.Write(r, struct {
			Load int64 `json:"load"`
		}{s.state().load})
	case runsPath:
		jsonbody.Write(r, count(s.history.Runs()))
	case controlPath:
		s.handleChange(r)
	default:
		return false
	}
	return true
}

func (s *Server) handleChange(r *fasthttp.RequestCtx) {
	var c Control
	if err := json.Unmarshal(r.PostBody(), &c); err != nil {
		r.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	r.SetStatusCode(fasthttp.StatusNoContent)
	s.Apply(c)
}

// state returns the state for the health and load endpoints, with any
// configured lag or override.
func (s *Server) state() state {
	load := s.admitted.Load()
	current := state{
		at: time.Now(), load: load,
		healthy: !s.draining.Load() && load <= int64(s.slots),
	}
	return s.reports.next(current)
}

// state is the state of a server at a point in time.
type state struct {
	at      time.Time
	load    int64
	healthy bool
}

// reports selects the state to report, which may be outdated or false.
type reports struct {
	mu            sync.Mutex
	lag           time.Duration
	reportHealthy bool
	snapshots     []state // oldest first
}

func (p *reports) set(c Control) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.ReportLag != nil {
		p.lag = time.Duration(*c.ReportLag) * time.Millisecond
	}
	if c.ReportHealthy != nil {
		p.reportHealthy = *c.ReportHealthy
	}
}

// next stores the current state and returns the one to report: the newest
// state that is at least as old as the lag, or a healthy one if there is none.
func (p *reports) next(current state) state {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snapshots = append(p.snapshots, current)
	reported := state{healthy: true}
	for len(p.snapshots) > 0 && current.at.Sub(p.snapshots[0].at) >= p.lag {
		reported = p.snapshots[0]
		p.snapshots = p.snapshots[1:]
	}
	if reported.at.IsZero() || p.reportHealthy {
		return state{healthy: true}
	}
	// Keep the reported state until a newer one is old enough.
	p.snapshots = append([]state{reported}, p.snapshots...)
	return reported
}

// counts is the response body of GET /runs.
type counts struct {
	Runs  int            `json:"runs"`
	Roots map[string]int `json:"roots"` // number of runs by customer request
	Keys  map[string]int `json:"keys"`  // number of runs by key of non-repeatable work
}

func count(runs []history.Run) counts {
	c := counts{Runs: len(runs), Roots: make(map[string]int), Keys: make(map[string]int)}
	for _, r := range runs {
		c.Roots[r.Root]++
		if r.WorkKey != "" {
			c.Keys[r.WorkKey]++
		}
	}
	return c
}
