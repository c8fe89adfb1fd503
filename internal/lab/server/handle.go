package server

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/lab/answer"
	"github.com/papayapath/papayapath/internal/lab/history"
	"github.com/papayapath/papayapath/internal/lab/loopback"
	"github.com/papayapath/papayapath/internal/lab/wire"
)

// call is a parsed request to a server.
type call struct {
	wire.Identity
	id       string // value of Papayapath-Call
	path     Path
	suffix   string // path after the prefix; appended to the paths of further calls
	body     []byte
	deadline time.Time // zero if not set
}

// handle serves one request. serverCtx ends when the server stops or crashes.
func (s *Server) handle(serverCtx context.Context, r *fasthttp.RequestCtx) {
	if s.handleControl(serverCtx, r) {
		return
	}
	c, ok := s.parse(r)
	switch {
	case !ok:
		r.SetStatusCode(fasthttp.StatusNotFound)
	case s.admitted.Add(1) > int64(s.slots+s.connections):
		s.admitted.Add(-1)
		s.shed(r)
	default:
		defer s.admitted.Add(-1)
		s.serveCall(serverCtx, r, c)
	}
}

// parse reads the header and body of a request. It returns false if no path
// matches.
func (s *Server) parse(r *fasthttp.RequestCtx) (call, bool) {
	get := func(name string) string { return string(r.Request.Header.Peek(name)) }
	path, ok := match(s.paths, string(r.Path()))
	suffix := strings.TrimPrefix(string(r.Path()), path.Prefix)
	c := call{
		Identity: wire.Read(get), id: get(wire.Call), path: path, suffix: suffix,
		body: append([]byte(nil), r.PostBody()...),
	}
	if ms, err := strconv.ParseInt(get(wire.Deadline), 10, 64); err == nil {
		c.deadline = time.UnixMilli(ms)
	}
	return c, ok
}

// shed rejects a request because all slots and waiting places are taken.
func (s *Server) shed(r *fasthttp.RequestCtx) {
	r.Response.Header.Set(wire.Shed, s.service)
	r.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

// serveCall waits for a free slot and runs a request. The run is canceled when
// the caller closes its connection, the deadline passes or the server crashes.
func (s *Server) serveCall(serverCtx context.Context, r *fasthttp.RequestCtx, c call) {
	ctx, cancel := context.WithCancel(serverCtx)
	defer cancel()
	if !c.deadline.IsZero() {
		var cancelDeadline context.CancelFunc
		ctx, cancelDeadline = context.WithDeadline(ctx, c.deadline)
		defer cancelDeadline()
	}
	stop := watchConnection(r.Conn(), cancel)
	defer stop()
	select {
	case <-ctx.Done():
	case <-s.freeSlots:
		defer func() { s.freeSlots <- struct{}{} }()
	}
	// Wait for the server to resume before checking the context, so that a paused
	// server does not start a run whose deadline has passed in the meantime.
	if !s.runTimer.waitResumed(ctx) {
		s.endAborted(serverCtx, ctx, r)
		return
	}
	if err := s.run(ctx, c); err != nil {
		r.Response.Header.Set(wire.Failed, err.service)
		r.SetStatusCode(fasthttp.StatusBadGateway)
	}
	if ctx.Err() != nil {
		s.endAborted(serverCtx, ctx, r)
		return
	}
	if r.Response.StatusCode() == fasthttp.StatusOK {
		a := answer.New(s.service, c.Root, c.path.Size)
		r.Response.Header.Set(wire.Checksum, a.Checksum())
		r.SetBody(a.Body())
	}
}

// run simulates the processing of a request: it makes the calls of the steps
// halfway through the run time.
func (s *Server) run(ctx context.Context, c call) *StepError {
	now := time.Now()
	index := s.history.Start(history.Run{Identity: c.Identity, Service: s.service, Start: now})
	defer func() { s.history.End(index, time.Now()) }()
	if c.Crash {
		s.Crash()
		return nil
	}
	half := s.runTimer.drawRunTime(c.path.Run, now) / 2
	if !s.runTimer.wait(ctx, half) {
		return nil
	}
	for i := range c.path.Steps {
		if err := s.callStep(ctx, c, i); err != nil {
			return err
		}
	}
	s.runTimer.wait(ctx, half)
	return nil
}

// endAborted ends an aborted request. It sends no response if the caller or
// the server is gone, and status 504 if the deadline has passed.
func (s *Server) endAborted(serverCtx, ctx context.Context, r *fasthttp.RequestCtx) {
	if !s.runTimer.waitResumed(serverCtx) || ctx.Err() != context.DeadlineExceeded {
		loopback.CloseWithoutResponse(r)
		return
	}
	r.ResetBody()
	r.SetStatusCode(fasthttp.StatusGatewayTimeout)
}
