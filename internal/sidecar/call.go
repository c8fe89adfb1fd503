package sidecar

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/ingress"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/priority"
	"github.com/papayapath/papayapath/pkg/routing"
	"github.com/papayapath/papayapath/pkg/window"
)

// defaultWait applies to requests that do not say how long they wait.
const defaultWait = 30 * time.Second

// call is one request at the node where it arrived.
type call struct {
	id       string
	route    *routing.Route
	key      message.Route
	service  string
	offer    frame.Offer
	body     []byte
	start    time.Time
	end      time.Time // when the final answer is due
	leaves   time.Time // when the client leaves, at the end or later
	tried    []string
	open     []uint64 // offers without a result
	sends    int      // servers that the request may have reached
	offers   int
	doubtful bool           // an earlier attempt may have run
	parent   *run           // the run that makes the call, if one is known
	window   *window.Window // in which the request counts, nil for calls of runs
	full     *window.Window // the window that refused the request, if one did
	delay    time.Duration  // waited for places at servers, with all calls
	shed     bool           // a node had no place for it
	refused  bool           // it, or one of its calls, ended for want of a place
	untold   bool           // it ended before the delay was known
	version  uint64         // of the configuration
	results  chan result
}

func (n *Node) newCall(id string, wait time.Duration, route *routing.Route, r *ingress.Request) *call {
	leaves := r.ReceivedAt.Add(wait)
	if t := route.Timeout(); t > 0 && t < wait {
		wait = t
	}
	c := &call{
		leaves:  leaves,
		id:      id,
		route:   route,
		body:    append([]byte(nil), r.Body...),
		start:   r.ReceivedAt,
		end:     r.ReceivedAt.Add(wait),
		results: make(chan result, maxOffers+1),
	}
	root, _, _ := strings.Cut(id, ".")
	method := r.Header.Method()
	c.offer = frame.Offer{
		Request:    id,
		Priority:   priority.New(route.Level(), root),
		Repeatable: route.Repeatable(),
		HasBody:    len(c.body) > 0 || string(method) != fasthttp.MethodGet && string(method) != fasthttp.MethodHead,
		HeadOnly:   r.Header.IsHead(),
		Origin:     n.env.Service,
		Content:    content(r.Header, c.body),
		Head:       n.dialect.AppendRequestHead(make([]byte, 0, 256), r.Header, n.env.Service),
	}
	return c
}

// content identifies what a request asks for, whatever its id.
func content(h *fasthttp.RequestHeader, body []byte) uint64 {
	d := xxhash.New()
	for _, b := range [...][]byte{h.Host(), h.Method(), h.RequestURI(), body} {
		d.Write(b)         //nolint:errcheck // never fails
		d.Write([]byte{0}) //nolint:errcheck // never fails
	}
	return d.Sum64()
}

// next returns the time until a request is looked at again: when its answer is
// overdue, or when its final answer is due.
func (c *call) next(patience time.Duration) time.Duration {
	left := time.Until(c.end)
	if patience > 0 {
		return min(patience, left)
	}
	return left
}

// close forgets an offer that has ended.
func (c *call) close(id uint64) {
	c.open = slices.DeleteFunc(c.open, func(o uint64) bool { return o == id })
}

// fields describes a request in a log line.
func (c *call) fields() logrus.Fields {
	if c.route == nil {
		return logrus.Fields{"request": c.id, "detail": "no configuration"}
	}
	f := logrus.Fields{
		"request": c.id, "route": c.route.Name(), "service": c.service, "version": c.version,
		"priority": c.offer.Priority, "inner": c.offer.Nested,
		"offers": c.offers, "sends": c.sends, "nodes": strings.Join(c.tried, ","),
		"age_ms": time.Since(c.start).Milliseconds(),
	}
	if w := c.full; w != nil {
		f["window"], f["open"], f["delay_ms"] = int(w.Size()), w.InFlight(), w.QueueDelay().Milliseconds()
	}
	return f
}
