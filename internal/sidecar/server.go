package sidecar

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/upstream"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/readiness"
)

const (
	// healthTimeout bounds a health check. It waits for a slot like a request.
	healthTimeout = time.Second
	// pathChecks is how often the path of the health check is looked for: over
	// 1.4 s, since the next heartbeat comes after 1.5 s.
	pathChecks = 70
)

// control serves the heartbeats of the own server.
func (n *Node) control(ctx *fasthttp.RequestCtx) {
	id, ok := n.formats.ServerID(string(ctx.Path()))
	switch {
	case ok && ctx.IsPut():
		n.heartbeat(ctx, id)
	case ok && ctx.IsDelete():
		n.leave(id)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if ctx.Response.StatusCode() == fasthttp.StatusOK {
		ctx.SetContentType("application/json")
		ctx.SetBodyString("{}")
	}
}

// heartbeat takes what the own server says of itself.
func (n *Node) heartbeat(ctx *fasthttp.RequestCtx, id string) {
	now := time.Now()
	h, err := n.formats.Heartbeat(id, ctx.PostBody())
	if err != nil {
		n.journal.WriteSampled(now, event.HeartbeatRejected, func() logrus.Fields {
			return logrus.Fields{"detail": err.Error()}
		})
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if h.Service != n.env.Service || h.Address != n.env.BackendAddr.String() {
		n.journal.WriteSampled(now, event.HeartbeatRejected, func() logrus.Fields {
			return logrus.Fields{"server": id, "service": h.Service, "address": h.Address, "detail": "another server's"}
		})
		return
	}
	n.mu.Lock()
	confirm := n.readiness.Observe(now, h) && !n.confirming
	if confirm {
		n.confirming = true
	}
	replies := n.presenceChanged(now, nil)
	n.mu.Unlock()
	n.reply(replies...)
	if confirm {
		go n.confirm()
	}
}

// leave takes the deregistration of the own server.
func (n *Node) leave(id string) {
	now := time.Now()
	n.mu.Lock()
	n.readiness.Deregister(id)
	replies := n.presenceChanged(now, nil)
	n.mu.Unlock()
	n.reply(replies...)
}

// confirm asks the health check of the own server whether it takes requests.
func (n *Node) confirm() {
	var id string
	healthy := false
	path := n.awaitHealthPath()
	if path != "" {
		err := upstream.CheckHealth(n.ctx, n.env.BackendAddr.String(), path, healthTimeout, func(h *fasthttp.ResponseHeader) {
			id, healthy = n.dialect.InstanceID(h), h.StatusCode() == fasthttp.StatusOK
		})
		if err != nil {
			n.journal.WriteSampled(time.Now(), event.BackendRequestFailed, func() logrus.Fields {
				return logrus.Fields{"request": "health check", "detail": err.Error()}
			})
		}
	}
	now := time.Now()
	n.mu.Lock()
	n.confirming = false
	n.readiness.RecordHealthCheck(id, healthy)
	replies := n.presenceChanged(now, nil)
	n.mu.Unlock()
	n.reply(replies...)
}

// awaitHealthPath returns the path of the own server's health check. A node
// that has just started may hear of its server before it has a configuration;
// without the path the server would stay out until its next heartbeats.
func (n *Node) awaitHealthPath() string {
	ticker := time.NewTicker(serverCheck)
	defer ticker.Stop()
	for range pathChecks {
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

// healthPath returns the path of the own server's health check, or "" while no
// configuration tells it.
func (n *Node) healthPath() string {
	t := n.table.Load()
	if t == nil {
		return ""
	}
	s, _ := t.Service(n.env.Service)
	return s.HealthPath
}

// presenceChanged brings everything else to the state of the own server. It is
// called with the lock held; the replies are sent without it.
func (n *Node) presenceChanged(now time.Time, replies []reply) []reply {
	last, state := n.readiness.Last(), n.readiness.State()
	n.runner.SetSlots(last.Slots)
	if n.self.State == state && n.self.Instance == last.ID && n.self.Born == last.Born && n.self.Slots == last.Slots {
		return replies
	}
	n.journal.Write(event.BackendStateChanged, logrus.Fields{
		"server": last.ID, "born": last.Born, "sequence": last.Sequence, "slots": last.Slots,
		"state": state.String(), "was": n.self.State.String(),
	})
	n.self.State, n.self.Instance, n.self.Born, n.self.Slots = state, last.ID, last.Born, last.Slots
	n.announce(now)
	if state == readiness.Ready {
		return replies
	}
	reason := outcome.Draining
	if state == readiness.Absent {
		reason = outcome.Unavailable
	}
	for _, t := range n.runner.Flush(nil) {
		delete(n.runs, t.Value.key)
		replies = append(replies, n.notRun(now, t.Value, reason))
	}
	return replies
}
