package sidecar

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/ingress"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/retryafter"
)

// finish ends a request without a server's answer.
func (n *Node) finish(c *call, reason outcome.Reason) ingress.Response {
	c.refused = c.refused || c.shed
	if !c.doubtful {
		return n.refuse(c, reason)
	}
	n.figures.doubtful.Inc(1)
	n.journal.WriteSampled(time.Now(), event.RequestOutcomeUnknown, func() logrus.Fields {
		f := c.fields()
		f["reason"] = reason.String()
		return f
	})
	return ingress.Response{Status: fasthttp.StatusBadGateway, Head: n.dialect.AppendRequestID(nil, c.id)}
}

// noPlace reports whether a node refused a request because its server had no
// place for it in time.
func noPlace(r outcome.Reason) bool {
	return r == outcome.Overload || r == outcome.Preempted || r == outcome.Expired
}

// refuse answers a request that has not run and never will.
func (n *Node) refuse(c *call, reason outcome.Reason) ingress.Response {
	n.figures.refused.Inc(1)
	now := time.Now()
	n.journal.WriteSampled(now, event.RequestRefused, func() logrus.Fields {
		f := c.fields()
		f["reason"] = reason.String()
		return f
	})
	head := n.dialect.AppendRequestID(nil, c.id)
	head = append(head, "Retry-After: "...)
	head = strconv.AppendFloat(head, n.returnAfter(now, c, reason).Seconds(), 'f', 3, 64)
	head = append(head, "\r\n"...)
	return ingress.Response{Status: fasthttp.StatusServiceUnavailable, Head: head}
}

// returnAfter returns when the client of a refused request is asked to come
// back. The request has no route if there is no configuration.
func (n *Node) returnAfter(now time.Time, c *call, reason outcome.Reason) time.Duration {
	r := retryafter.Rejection{Remaining: c.leaves.Sub(now), NoCapacity: noPlace(reason)}
	if c.route != nil {
		r.Objective = c.route.Objective() - now.Sub(c.start)
		n.mu.Lock()
		if e := n.latencies[c.key]; e != nil {
			r.Latency = e.Mean()
		}
		n.mu.Unlock()
	}
	return r.Delay(rand.Float64())
}
