package sidecar

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/boottime"
	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/ingress"
	"github.com/papayapath/papayapath/pkg/routing"
)

// keyFailure tells why a request has no valid API key.
type keyFailure string

// Results of identify.
const (
	identified   keyFailure = ""
	keyMissing   keyFailure = "key missing"
	keyMalformed keyFailure = "key malformed"
	keyUnknown   keyFailure = "key unknown"
	// unconfirmed means that the key is unknown, but a newer configuration, which this
	// node has not received yet, may have it.
	unconfirmed keyFailure = "key unknown to a configuration that may be out of date"
)

// identify returns the sender of a request. Calls of the local backend server have no
// key. They are made on routes that are open.
func (n *Node) identify(t *routing.Table, route *routing.Route, h *fasthttp.RequestHeader) (sender, keyFailure) {
	if !t.HasCustomers() {
		return sender{}, identified
	}
	key, ok := n.codec.Key(h)
	switch {
	case !ok:
		return sender{}, keyMalformed
	case len(key) == 0 && route.Open():
		return sender{hasKeys: true}, identified
	case len(key) == 0:
		return sender{}, keyMissing
	}
	if c := t.Keyring().Find(key); c != nil {
		return sender{customer: c, hasKeys: true}, identified
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.freshness.IsCurrent(boottime.Now(), t.Version()) {
		n.stats.unconfirmed.Inc(1)
		return sender{}, unconfirmed
	}
	return sender{}, keyUnknown
}

// rejectKey returns the response to a request without a valid API key.
func (n *Node) rejectKey(id string, route *routing.Route, failure keyFailure) ingress.Response {
	n.stats.unauthorized.Inc(1)
	n.journal.WriteSampled(time.Now(), event.KeyRejected, func() logrus.Fields {
		return logrus.Fields{"request": id, "route": route.Name(), "detail": string(failure)}
	})
	head := n.codec.AppendRequestID(nil, id)
	return ingress.Response{Status: fasthttp.StatusUnauthorized, Head: n.codec.AppendChallenge(head)}
}
