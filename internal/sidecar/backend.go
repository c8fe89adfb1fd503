package sidecar

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/fault"
	"github.com/papayapath/papayapath/internal/upstream"
	"github.com/papayapath/papayapath/pkg/intake"
	"github.com/papayapath/papayapath/pkg/notice"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/readiness"
)

const (
	// healthCheckTimeout bounds a health check, which waits for a slot of the
	// backend server like any request.
	healthCheckTimeout = time.Second
	// healthPathPolls is the number of polls for the health check path. At
	// pollInterval they take 1.4 s, just less than the heartbeat interval of
	// 1.5 s.
	healthPathPolls = 70
)

// serveControl handles heartbeats and the deregistration of the local backend
// server.
func (n *Node) serveControl(ctx *fasthttp.RequestCtx) {
	id, ok := n.platform.ServerID(string(ctx.Path()))
	switch {
	case ok && ctx.IsPut():
		n.handleHeartbeat(ctx, id)
	case ok && ctx.IsDelete():
		n.handleDeregistration(id)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if ctx.Response.StatusCode() == fasthttp.StatusOK {
		ctx.SetContentType("application/json")
		ctx.SetBodyString("{}")
	}
}

// handleHeartbeat processes a heartbeat. Heartbeats of other backend servers are
// logged and ignored.
func (n *Node) handleHeartbeat(ctx *fasthttp.RequestCtx, id string) {
	now := time.Now()
	h, err := fault.Call(func() (readiness.Heartbeat, error) { return n.platform.Heartbeat(id, ctx.PostBody()) })
	if err == nil {
		err = h.Validate(now)
	}
	if err != nil {
		n.journal.WriteSampled(now, event.HeartbeatRejected, func() logrus.Fields {
			return logrus.Fields{"detail": err.Error()}
		})
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if h.Service != n.env.Service || h.Address != n.env.BackendAddr.String() {
		n.journal.WriteSampled(now, event.HeartbeatRejected, func() logrus.Fields {
			return logrus.Fields{"server": id, "service": h.Service, "address": h.Address, "detail": "sent by another backend server"}
		})
		return
	}
	n.mu.Lock()
	checkHealth := n.observeHeartbeat(now, h) && !n.healthCheckRunning
	if checkHealth {
		n.healthCheckRunning = true
	}
	replies := n.applyReadiness(now, nil)
	n.mu.Unlock()
	n.reply(replies...)
	if checkHealth {
		go n.checkHealth()
	}
}

// handleDeregistration processes the deregistration of a backend server.
func (n *Node) handleDeregistration(id string) {
	now := time.Now()
	n.mu.Lock()
	n.readiness.Deregister(now, id)
	replies := n.applyReadiness(now, nil)
	n.mu.Unlock()
	n.reply(replies...)
}

// checkHealth runs the health check of the local backend server and records the
// result.
func (n *Node) checkHealth() {
	var id string
	healthy := false
	path := n.awaitHealthPath()
	if path != "" {
		n.mu.Lock()
		n.intake.Take(time.Now())
		n.mu.Unlock()
		err := upstream.CheckHealth(n.ctx, n.env.BackendAddr.String(), path, healthCheckTimeout, func(h *fasthttp.ResponseHeader) {
			id, healthy = n.codec.InstanceID(h), h.StatusCode() == fasthttp.StatusOK
		})
		if err != nil {
			n.journal.WriteSampled(time.Now(), event.BackendRequestFailed, func() logrus.Fields {
				return logrus.Fields{"request": "health check", "detail": err.Error()}
			})
		}
	}
	now := time.Now()
	n.mu.Lock()
	n.healthCheckRunning = false
	n.readiness.RecordHealthCheck(id, healthy)
	replies := n.applyReadiness(now, nil)
	n.mu.Unlock()
	n.reply(replies...)
}

// awaitHealthPath returns the health check path of the local backend server. After
// a start, the first heartbeat can precede the configuration that holds the path.
// Without waiting, the server would stay out of service until further heartbeats
// arrive.
func (n *Node) awaitHealthPath() string {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for range healthPathPolls {
		if path := n.healthPath(); path != "" {
			return path
		}
		select {
		case <-n.ctx.Done():
			return ""
		case <-ticker.C:
		}
	}
	return n.healthPath()
}

// healthPath returns the health check path of the local backend server, or "" if
// no configuration specifies it.
func (n *Node) healthPath() string {
	t := n.table.Load()
	if t == nil {
		return ""
	}
	s, _ := t.Service(n.env.Service)
	return s.HealthPath
}

// applyReadiness updates the slots, the node entry and the queue after a possible
// change of the backend server's readiness, and appends answers to refused offers
// to replies. The caller must hold n.mu, and send the answers after releasing it.
func (n *Node) applyReadiness(now time.Time, replies []reply) []reply {
	heartbeat, state := n.readiness.Last(), n.readiness.State()
	n.runner.SetSlots(heartbeat.Slots)
	if n.self.State == state && n.self.Instance == heartbeat.ID && n.self.Born == heartbeat.Born && n.self.Slots == heartbeat.Slots {
		return replies
	}
	n.journal.Write(event.BackendStateChanged, logrus.Fields{
		"server": heartbeat.ID, "born": heartbeat.Born, "sequence": heartbeat.Sequence, "slots": heartbeat.Slots,
		"state": state.String(), "was": n.self.State.String(),
	})
	if n.self.Instance != heartbeat.ID || n.self.Born != heartbeat.Born {
		// A limit, and what was said of it, ends with its server.
		*n.intake, n.notice = intake.Intake{}, notice.Notice{}
	}
	n.self.State, n.self.Instance, n.self.Born, n.self.Slots = state, heartbeat.ID, heartbeat.Born, heartbeat.Slots
	n.announceEntry(now)
	if state == readiness.Ready {
		return replies
	}
	reason := outcome.Draining
	if state == readiness.Absent {
		reason = outcome.Unavailable
	}
	for _, t := range n.runner.Flush(nil) {
		delete(n.executions, t.Value.key)
		replies = append(replies, n.refuseOffer(now, t.Value, reason))
	}
	return replies
}
