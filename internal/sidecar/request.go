package sidecar

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/ingress"
	"github.com/papayapath/papayapath/internal/ratelimit"
	"github.com/papayapath/papayapath/pkg/customer"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/payload"
	"github.com/papayapath/papayapath/pkg/priority"
	"github.com/papayapath/papayapath/pkg/routing"
	"github.com/papayapath/papayapath/pkg/window"
)

// defaultTimeout applies to requests without a deadline.
const defaultTimeout = 30 * time.Second

// request is the state of a client request at its entry node.
type request struct {
	id              string
	client          *ingress.Request
	route           *routing.Route
	customer        *customer.Customer // on whose behalf the request is made, nil if none is known
	token           ratelimit.Token    // if hasToken, what the customer's limit admits it by
	hasToken        bool
	routeKey        message.Route
	service         string
	offer           frame.Offer
	body            *payload.Body
	arrival         time.Time
	deadline        time.Time // when the final response is due
	clientDeadline  time.Time // when the client stops waiting, at deadline or later
	triedNodes      []string
	openOffers      []uint64 // IDs of offers without a result
	serverAttempts  int      // backend servers that the request may have reached
	offerCount      int
	unknownOutcome  bool                // a backend server may have run an earlier attempt, or has and failed
	parent          *execution          // execution that sent the request, if known
	withdrawn       <-chan struct{}     // closed when the parent is withdrawn; nil without a parent
	window          *window.Window      // window that counts the request; nil for nested calls
	admitted        time.Time           // when its window admitted it, or it was given precedence
	isPromoted      bool                // it has precedence because its kind was starved
	rejection       *windowState        // state of the window that refused the request, if any
	admission       chan outcome.Reason // if the request waits for a place in its window, the decision
	queueDelay      time.Duration       // time queued at backend servers, including nested calls
	capacityRefused bool                // a node refused it for lack of capacity
	overloaded      bool                // it or one of its nested calls failed for lack of capacity
	delayUnknown    bool                // it ended before its queue delay was known
	configVersion   uint64              // configuration version that routed the request
	rank            float64             // importance, from 0 to 1
	objective       time.Time           // latency objective of the client's request, zero if there is none
	resends         resends
	results         chan *offerResult
	lastRun         run // of the latest offer that ended without the answer of a server

	// Room for triedNodes and openOffers. Most requests have one offer.
	triedRoom [usualOffers]string
	offerRoom [usualOffers]uint64
}

// usualOffers is the number of offers that few requests exceed.
const usualOffers = 2

// windowState is the state of a window for the log.
type windowState struct {
	size, inFlight int
	queueDelay     time.Duration
}

// sender is what the configuration tells of the sender of a request.
type sender struct {
	customer *customer.Customer // nil if the request has no key
	hasKeys  bool               // customers are configured
}

func (n *Node) newRequest(id string, timeout time.Duration, route *routing.Route, from sender, r *ingress.Request) *request {
	clientDeadline := r.ReceivedAt.Add(timeout)
	if t := route.Timeout(); t > 0 && t < timeout {
		timeout = t
	}
	req := &request{
		clientDeadline: clientDeadline,
		id:             id,
		client:         r,
		route:          route,
		customer:       from.customer,
		body:           r.Body,
		arrival:        r.ReceivedAt,
		deadline:       r.ReceivedAt.Add(timeout),
		results:        make(chan *offerResult, maxOffersPerRequest+1),
	}
	req.triedNodes, req.openOffers = req.triedRoom[:0], req.offerRoom[:0]
	root, _, _ := strings.Cut(id, ".")
	method := r.Header.Method()
	rank := priority.New(route.Level(), root)
	var customerName string
	head := n.codec.AppendRequestHead(make([]byte, 0, 256), r.Header, n.env.Service, from.hasKeys)
	switch {
	case from.customer != nil:
		rank = rank.WithCustomer(from.customer.Level())
		customerName = from.customer.Name()
		head = n.codec.AppendCustomer(head, customerName)
	case from.hasKeys:
		rank = rank.WithCustomer(customer.DefaultLevel)
	}
	req.rank = rank.Rank(from.hasKeys)
	if useful := route.Useful(); useful > 0 {
		req.objective = req.arrival.Add(useful)
	}
	req.offer = frame.Offer{
		Request:    id,
		Priority:   rank,
		Repeatable: route.Repeatable(),
		HasBody:    req.body.Len() > 0 || string(method) != fasthttp.MethodGet && string(method) != fasthttp.MethodHead,
		HeadOnly:   r.Header.IsHead(),
		Origin:     n.env.Service,
		Content:    contentHash(r.Header, customerName, req.body),
		Head:       head,
	}
	return req
}

// contentHash hashes the host, method, URI, customer and body of a request, so that
// repeats under other request IDs and at other nodes can be recognized.
func contentHash(h *fasthttp.RequestHeader, customerName string, body *payload.Body) uint64 {
	hash := xxhash.New()
	for _, field := range [...][]byte{h.Host(), h.Method(), h.RequestURI(), []byte(customerName)} {
		hash.Write(field)     //nolint:errcheck // never fails
		hash.Write([]byte{0}) //nolint:errcheck // never fails
	}
	for _, segment := range body.Segments() {
		hash.Write(segment) //nolint:errcheck // never fails
	}
	hash.Write([]byte{0}) //nolint:errcheck // never fails
	return hash.Sum64()
}

// isDisconnected reports whether the client is known to have left.
func (req *request) isDisconnected() bool {
	select {
	case <-req.client.Disconnected:
		return true
	default:
		return false
	}
}

// isUnwanted reports whether nobody waits for the request any more: its client is
// known to have left, or its parent execution was withdrawn.
func (req *request) isUnwanted() bool {
	select {
	case <-req.withdrawn:
		return true
	default:
		return req.isDisconnected()
	}
}

// untilNextCheck returns the time until the response is overdue, given a nonzero
// hedging delay, or until the deadline, whichever is earlier.
func (req *request) untilNextCheck(hedgeDelay time.Duration) time.Duration {
	remaining := time.Until(req.deadline)
	if hedgeDelay > 0 {
		return min(hedgeDelay, remaining)
	}
	return remaining
}

// removeOffer removes an ended offer from the open offers.
func (req *request) removeOffer(id uint64) {
	req.openOffers = slices.DeleteFunc(req.openOffers, func(o uint64) bool { return o == id })
}

// logFields returns the log fields that describe the request.
func (req *request) logFields() logrus.Fields {
	if req.route == nil {
		return logrus.Fields{"request": req.id, "detail": "no configuration"}
	}
	f := logrus.Fields{
		"request": req.id, "route": req.route.Name(), "service": req.service, "version": req.configVersion,
		"priority": req.offer.Priority, "inner": req.offer.Nested,
		"offers": req.offerCount, "sends": req.serverAttempts, "nodes": strings.Join(req.triedNodes, ","),
		"age_ms": time.Since(req.arrival).Milliseconds(),
	}
	if req.customer != nil {
		f["customer"] = req.customer.Name()
	}
	if w := req.rejection; w != nil {
		f["window"], f["open"], f["delay_ms"] = w.size, w.inFlight, w.queueDelay.Milliseconds()
	}
	return f
}
