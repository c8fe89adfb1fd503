package sidecar

import "time"

// offeredObjective returns what an offer tells of the latency objective of the client's
// request.
func (n *Node) offeredObjective(now time.Time, req *request) time.Duration {
	if !n.env.Pool {
		return 0
	}
	return untilObjective(now, req)
}

// setObjective sets the objective of an execution, whose offer was delayed on its link,
// and with it the place of the request in the queue.
func (n *Node) setObjective(now time.Time, ex *execution, delay time.Duration) {
	if !n.env.Pool {
		return
	}
	if left := ex.offer.Objective; left != 0 {
		ex.objective = now.Add(left - delay)
	}
	ex.ticket.Useful = ex.objective
	ex.ticket.Usual = n.placement.workload.Usual(n.placement.kind(ex))
}

// inheritObjective gives a call the objective of the client's request that caused it, if
// it is known, in place of that of its own route: the client waits for the whole.
func (n *Node) inheritObjective(req *request) {
	if !req.parent.objective.IsZero() {
		req.objective = req.parent.objective
	}
}

// countLateSend counts a request that could have met its objective when it arrived, and
// can't any more when it is sent to the local backend server.
func (n *Node) countLateSend(now time.Time, ex *execution) {
	latest := ex.objective.Add(-ex.ticket.Usual)
	if !ex.objective.IsZero() && now.After(latest) && !ex.arrivedAt.After(latest) {
		n.stats.lateSends.Inc(1)
	}
}
