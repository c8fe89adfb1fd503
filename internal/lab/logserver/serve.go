package logserver

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/lab/jsonbody"
	"github.com/papayapath/papayapath/internal/lab/loopback"
)

const (
	streamPrefix = "/streams/"
	faultPath    = "/faults"
	// maxWait is the maximum time that a read waits for records.
	maxWait = 30 * time.Second
)

// Serve handles HTTP requests on listener until ctx ends.
func (l *Log) Serve(ctx context.Context, listener *loopback.Listener) error {
	return loopback.Serve(ctx, listener, func(r *fasthttp.RequestCtx) { l.handle(ctx, r) })
}

func (l *Log) handle(ctx context.Context, r *fasthttp.RequestCtx) {
	path := string(r.Path())
	name, isStream := strings.CutPrefix(path, streamPrefix)
	switch {
	case path == faultPath && r.IsPost():
		l.handleFaults(r)
	case isStream && name != "" && r.IsPost():
		l.applyFaults(ctx, r, func() bool { return l.handleAppend(r, name) })
	case isStream && name != "" && r.IsGet():
		l.applyFaults(ctx, r, func() bool { return l.handleRead(ctx, r, name) })
	default:
		r.Error("unknown path", fasthttp.StatusNotFound)
	}
}

// applyFaults runs operation under the current faults. It closes the
// connection without a response if the log is down before or after operation,
// or if operation returns false.
func (l *Log) applyFaults(ctx context.Context, r *fasthttp.RequestCtx, operation func() bool) {
	if !l.reachable(ctx) || !operation() || !l.reachable(ctx) {
		loopback.CloseWithoutResponse(r)
	}
}

// reachable waits for half of the delay and reports whether the log is up.
func (l *Log) reachable(ctx context.Context) bool {
	_, delay := l.state()
	if delay > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(delay / 2):
		}
	}
	down, _ := l.state()
	return !down && ctx.Err() == nil
}

func (l *Log) handleFaults(r *fasthttp.RequestCtx) {
	var f Faults
	if err := json.Unmarshal(r.PostBody(), &f); err != nil {
		r.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	l.SetFaults(f)
	r.SetStatusCode(fasthttp.StatusNoContent)
}

// handleAppend appends a record and reports whether the response may be sent.
func (l *Log) handleAppend(r *fasthttp.RequestCtx, name string) bool {
	var request struct {
		ID   string `json:"id"`
		Data []byte `json:"data"`
	}
	if err := json.Unmarshal(r.PostBody(), &request); err != nil {
		r.Error(err.Error(), fasthttp.StatusBadRequest)
		return true
	}
	now := time.Now()
	if !l.limiter.AllowN(now, 1) {
		r.Error("append rate limit exceeded", fasthttp.StatusTooManyRequests)
		return true
	}
	generation, offset, lost := l.append(name, request.ID, request.Data, now)
	jsonbody.Write(r, struct {
		Generation uint64 `json:"generation"`
		Offset     uint64 `json:"offset"`
	}{generation, offset})
	return !lost
}

// handleRead returns a page of records. Its response is always sent.
func (l *Log) handleRead(ctx context.Context, r *fasthttp.RequestCtx, name string) bool {
	arguments := r.QueryArgs()
	from := uint64(arguments.GetUintOrZero("from"))
	limit := arguments.GetUintOrZero("max")
	if limit == 0 {
		limit = defaultPageSize
	}
	wait := time.Duration(arguments.GetUintOrZero("wait")) * time.Millisecond
	jsonbody.Write(r, l.waitForRecords(ctx, name, from, limit, min(wait, maxWait)))
	return true
}

// waitForRecords reads a page. If it is empty, it waits until a record is
// appended, the generation changes or wait has passed.
func (l *Log) waitForRecords(ctx context.Context, name string, from uint64, limit int, wait time.Duration) page {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	p, changed := l.read(name, from, limit, time.Now())
	generation := p.Generation
	for len(p.Records) == 0 && p.Generation == generation {
		select {
		case <-ctx.Done():
			return p
		case <-timer.C:
			return p
		case <-changed:
			p, changed = l.read(name, from, limit, time.Now())
		}
	}
	return p
}
