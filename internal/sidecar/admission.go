package sidecar

import (
	"math"
	"time"

	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/waitlist"
	"github.com/papayapath/papayapath/pkg/window"
)

// waitForWindow puts a request that its window refuses on the list of those that wait for
// a place, if one is likely to become free in time. It returns nil if the request is
// refused at once. The caller must hold n.mu.
func (n *Node) waitForWindow(now time.Time, req *request, w *window.Window) <-chan outcome.Reason {
	maxWait := min(req.route.Objective()/firstOfferWaitDivisor, req.deadline.Sub(now))
	limit := n.waitLimit(req.routeKey, w, maxWait)
	if limit < 1 {
		return nil
	}
	l := n.waiting[req.routeKey]
	if l == nil {
		l = &waitlist.List[*request]{}
		n.waiting[req.routeKey] = l
	}
	req.admission = make(chan outcome.Reason, 1)
	if left, isFull := l.Add(req, req.offer.Priority, now.Add(maxWait), limit); isFull {
		if left == req {
			return nil
		}
		left.admission <- outcome.Overload
	}
	return req.admission
}

// waitLimit returns how many requests may wait for a place in a window: as many as are
// expected to end in the time for which they wait.
func (n *Node) waitLimit(key message.Route, w *window.Window, maxWait time.Duration) int {
	e := n.latencies[key]
	if e == nil || e.Mean() <= 0 {
		return 0
	}
	return int(math.Ceil(w.Size() * float64(maxWait) / float64(e.Mean())))
}

// awaitAdmission waits for a place in the window of a request.
func (n *Node) awaitAdmission(req *request, admission <-chan outcome.Reason) outcome.Reason {
	timer := time.NewTimer(min(req.route.Objective()/firstOfferWaitDivisor, time.Until(req.deadline)))
	defer timer.Stop()
	reason := outcome.Overload
	select {
	case reason = <-admission:
		return reason
	case <-req.client.Disconnected:
		reason = outcome.Canceled
	case <-timer.C:
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.waiting[req.routeKey]; l != nil && l.Remove(req) {
		return reason
	}
	// The end of the wait and the decision crossed.
	select {
	case reason = <-admission:
	default:
	}
	return reason
}

// admitWaiting admits the requests for which a window has places now. The caller must hold
// n.mu.
func (n *Node) admitWaiting(now time.Time, key message.Route, w *window.Window) {
	l := n.waiting[key]
	for l != nil && l.Len() > 0 && w.HasPlace() {
		req, ok := l.Next(now)
		if !ok {
			return
		}
		w.Admit(now)
		req.window, req.admitted = w, now
		req.admission <- outcome.None
	}
}
