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

// Paths that the server answers besides those of its service.
const (
	healthPath  = "/health"
	loadPath    = "/load"
	runsPath    = "/runs"
	controlPath = "/control"
)

// Control changes the behaviour of a server. A field that is nil leaves the
// present behaviour as it is.
type Control struct {
	SlowBy        *float64 `json:"slow,omitempty"`   // factor by which runs are slower
	Paused        *bool    `json:"paused,omitempty"` // stop all runs and answers
	ReportLag     *int     `json:"lag,omitempty"`    // ms by which health and load are out of date
	ReportHealthy *bool    `json:"lie,omitempty"`    // report good health and no load in any case
	Crash         bool     `json:"crash,omitempty"`
}

// Apply applies a change of behaviour.
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

// handleControl answers requests for control and reports, and returns false
// for any other request. A paused server answers only requests for control.
func (s *Server) handleControl(serverCtx context.Context, r *fasthttp.RequestCtx) bool {
	switch string(r.Path()) {
	case healthPath:
		s.clock.waitResumed(serverCtx)
		jsonbody.Write(r, struct {
			Healthy bool `json:"healthy"`
		}{s.report().healthy})
	case loadPath:
		s.clock.waitResumed(serverCtx)
		jsonbody.Write(r, struct {
			Load int64 `json:"load"`
		}{s.report().load})
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

// report returns what the health and load endpoints say now.
func (s *Server) report() report {
	load := s.admitted.Load()
	current := report{
		at: time.Now(), load: load,
		healthy: !s.draining.Load() && load <= int64(s.slots),
	}
	return s.reports.next(current)
}

// report is the state of a server at one time.
type report struct {
	at      time.Time
	load    int64
	healthy bool
}

// reports answers with old or false states.
type reports struct {
	mu            sync.Mutex
	lag           time.Duration
	reportHealthy bool
	snapshots     []report // in order of time, oldest first
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

// next notes the present state and returns the one to report: the newest that
// is at least as old as the lag, or good health if there is none.
func (p *reports) next(current report) report {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snapshots = append(p.snapshots, current)
	reported := report{healthy: true}
	for len(p.snapshots) > 0 && current.at.Sub(p.snapshots[0].at) >= p.lag {
		reported = p.snapshots[0]
		p.snapshots = p.snapshots[1:]
	}
	if reported.at.IsZero() || p.reportHealthy {
		return report{healthy: true}
	}
	// The chosen state stays the answer until a newer one is old enough.
	p.snapshots = append([]report{reported}, p.snapshots...)
	return reported
}

// counts is the body of the answer to GET /runs.
type counts struct {
	Runs  int            `json:"runs"`
	Roots map[string]int `json:"roots"` // runs by customer request
	Keys  map[string]int `json:"keys"`  // runs by key of non-repeatable work
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
