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

// endUnanswered returns the response to a request that got none from a backend
// server: 502 if the request may have run, otherwise 503. A client that has left gets
// none.
func (n *Node) endUnanswered(req *request, reason outcome.Reason) ingress.Response {
	if req.isDisconnected() || reason == outcome.Canceled && !req.isUnwanted() {
		return n.abandon(req)
	}
	req.overloaded = req.overloaded || req.capacityRefused
	if !req.unknownOutcome {
		return n.refuse(req, reason)
	}
	n.stats.unknownOutcome.Inc(1)
	n.journal.WriteSampled(time.Now(), event.RequestOutcomeUnknown, func() logrus.Fields {
		f := n.unansweredFields(req)
		f["reason"] = reason.String()
		return f
	})
	return ingress.Response{Status: fasthttp.StatusBadGateway, Head: n.codec.AppendRequestID(nil, req.id)}
}

// isCapacityReason reports whether a node refused a request because its backend
// server had no capacity for it in time.
func isCapacityReason(r outcome.Reason) bool {
	return r == outcome.Overload || r == outcome.Preempted || r == outcome.Expired || r == outcome.Limited || r == outcome.Memory
}

// refuse returns a 503 response with Retry-After for a request that has not run
// and will not run, or 429 if it is beyond the limit of its customer.
func (n *Node) refuse(req *request, reason outcome.Reason) ingress.Response {
	n.returnToken(req)
	n.stats.refused.Inc(1)
	now := time.Now()
	n.journal.WriteSampled(now, event.RequestRefused, func() logrus.Fields {
		f := req.logFields()
		f["reason"] = reason.String()
		return f
	})
	header := n.codec.AppendRequestID(nil, req.id)
	header = append(header, "Retry-After: "...)
	header = strconv.AppendFloat(header, n.retryAfter(now, req, reason).Seconds(), 'f', 3, 64)
	header = append(header, "\r\n"...)
	status := fasthttp.StatusServiceUnavailable
	if reason == outcome.Rate {
		status = fasthttp.StatusTooManyRequests
	}
	return ingress.Response{Status: status, Head: header}
}

// retryAfter returns the Retry-After delay of a refused request. The request has
// no route if there is no configuration.
func (n *Node) retryAfter(now time.Time, req *request, reason outcome.Reason) time.Duration {
	if reason == outcome.Rate {
		return n.limiter.RetryAfter(req.customer.Name())
	}
	rejection := retryafter.Rejection{Remaining: req.clientDeadline.Sub(now), NoCapacity: isCapacityReason(reason)}
	if req.route != nil {
		rejection.Objective = req.route.Objective() - now.Sub(req.arrival)
		n.mu.Lock()
		if estimator := n.latencies[req.routeKey]; estimator != nil {
			rejection.Latency = estimator.Mean()
		}
		n.mu.Unlock()
	}
	return rejection.Delay(rand.Float64())
}
