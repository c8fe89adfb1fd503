package sidecar

import (
	"errors"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/peer"
	"github.com/papayapath/papayapath/internal/upstream"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/payload"
	"github.com/papayapath/papayapath/pkg/proof"
	"github.com/papayapath/papayapath/pkg/quarantine"
	"github.com/papayapath/papayapath/pkg/readiness"
	"github.com/papayapath/papayapath/pkg/runner"
	"github.com/papayapath/papayapath/pkg/transit"
)

// execution is an offer that is queued for or running on the local backend server.
type execution struct {
	key        executionKey
	offer      frame.Offer
	body       *payload.Body
	ticket     runner.Request[*execution]
	exchange   *upstream.Exchange
	server     readiness.Incarnation // server that the request is sent to
	arrivedAt  time.Time
	startedAt  time.Time
	canceled   bool
	unfunded   bool // the retry budget did not cover it any more when it could start
	repeat     repeat
	withdrawn  chan struct{} // closed when the offer is withdrawn; nil without nested calls
	queueDelay time.Duration // queue delay of its nested calls
	overloaded bool          // a nested call was refused for lack of capacity
	placed     placedRun
	objective  time.Time // latency objective of the client's request, zero if unknown
}

// executionKey identifies an execution by the ID of its offer, which is unique per
// link. The link is nil for offers of the local node.
type executionKey struct {
	link *peer.Link
	id   uint64
}

// reply is an answer to an offer, to be sent after Node.mu is released.
type reply struct {
	execution *execution
	answer    frame.Answer
	body      *payload.Body
}

// acceptOffer runs, queues or refuses an offer for the local backend server. The
// wait of an offer began when it was sent. An offer that is read late, because
// the link stalled or this process was paused, has used up a part of it. It is
// confirmed first, and so is the first one of a link, of which nothing tells whether
// it is late. The body is released with the reply.
func (n *Node) acceptOffer(now time.Time, from *peer.Link, o *frame.Offer, body *payload.Body) {
	ex := &execution{key: executionKey{link: from, id: o.ID}, offer: *o, body: body, arrivedAt: now}
	n.mu.Lock()
	isFirst := from != nil && n.transits[from] == nil
	delay := n.transitDelay(now, from, o.Sent)
	ex.offer.Wait -= delay
	ex.offer.Credit = n.creditedOnArrival(o, delay)
	ex.ticket = runner.Request[*execution]{
		Value: ex, Priority: o.Priority, Expires: now.Add(ex.offer.Wait),
	}
	n.setObjective(now, ex, delay)
	if delay > maxUnconfirmedDelay {
		n.stats.delayed.Inc(1)
	}
	var replies []reply
	var mustAsk, isStarted bool
	mustConfirm := isFirst || delay > maxUnconfirmedDelay || n.confirmations[from] != nil
	switch {
	case !mustConfirm || ex.offer.Wait <= 0 || n.exitDecided:
		replies, isStarted = n.placeOffer(now, ex)
	case n.canHold(from):
		mustAsk = n.holdOffer(now, ex)
	default:
		replies = []reply{n.refuseOffer(now, ex, outcome.Overload)}
	}
	n.mu.Unlock()
	if isStarted {
		n.startExecution(now, ex)
	}
	n.reply(replies...)
	if mustAsk {
		requestPong(from)
	}
}

// placeOffer starts, queues or refuses an offer. It returns the answers to refused
// ones, and whether the execution has been started. The caller must hold n.mu, and
// send the answers and call startExecution after releasing it.
func (n *Node) placeOffer(now time.Time, ex *execution) (replies []reply, isStarted bool) {
	if !now.Before(ex.ticket.Expires) {
		return []reply{n.refuseOffer(now, ex, outcome.Expired)}, false
	}
	n.adoptNotice(now, ex.offer.Notice)
	if reason := n.unavailability(now, ex); reason != outcome.None {
		return []reply{n.refuseOffer(now, ex, reason)}, false
	}
	if !n.takeRepeat(now, ex) {
		return []reply{n.refuseOffer(now, ex, outcome.Budget)}, false
	}
	ex.ticket.Expires = n.boundBeforeExit(ex.ticket.Expires)
	decision, evicted := n.runner.Offer(now, &ex.ticket)
	if evicted != nil {
		delete(n.executions, evicted.Value.key)
		replies = append(replies, n.refuseOffer(now, evicted.Value, outcome.Preempted))
	}
	switch decision {
	case runner.Refused:
		replies = append(replies, n.refuseOffer(now, ex, n.capacityReason()))
	case runner.Queued:
		n.executions[ex.key] = ex
		n.scheduleExpiry(now)
	case runner.Started:
		n.executions[ex.key] = ex
		n.recordStart(now, ex)
	}
	return replies, decision == runner.Started
}

// transitDelay returns by how much an offer was delayed on its link.
func (n *Node) transitDelay(now time.Time, from *peer.Link, sent time.Duration) time.Duration {
	if from == nil {
		return 0
	}
	t := n.transits[from]
	if t == nil {
		t = &transit.Estimator{}
		n.transits[from] = t
	}
	return t.Delay(now, sent)
}

// unavailability returns the reason why the local backend server cannot accept an
// offer, or None.
func (n *Node) unavailability(now time.Time, ex *execution) outcome.Reason {
	o := &ex.offer
	switch {
	case o.Service != n.env.Service:
		return outcome.Unavailable
	case n.readiness.State() == readiness.Draining:
		return outcome.Draining
	case n.readiness.State() != readiness.Ready:
		return outcome.Unavailable
	case n.exitDecided, !n.answersBeforeExit(now, ex.ticket.Expires, longestAnswer(n.runLatencies[o.Route])):
		return outcome.Draining
	case n.quarantine.Check(now, quarantineRequest(o)) == quarantine.Refuse:
		return outcome.Suspect
	}
	return outcome.None
}

// recordStart records the start of an execution.
func (n *Node) recordStart(now time.Time, ex *execution) {
	ex.server, ex.startedAt = n.readiness.Last().Incarnation, now
	// It may have been queued before the signal to stop.
	ex.ticket.Expires = n.boundBeforeExit(ex.ticket.Expires)
	ex.unfunded = !n.takeDelayedRepeat(now, ex)
	n.stats.sends.Inc(1)
	n.countLateSend(now, ex)
	n.placement.start(now, ex)
	n.callGraph.Run(ex.offer.Route)
	n.runningByRequest[ex.offer.Request] = ex
	n.withdrawals.Remove(ex.offer.Request)
}

// errWithdrawn means that an offer was withdrawn before its request was sent, errUnfunded
// that the retry budget did not cover it any more.
var (
	errWithdrawn = errors.New("sidecar: offer withdrawn")
	errUnfunded  = errors.New("sidecar: retry budget used up")
)

// startExecution sends a request to the local backend server. It comes before the replies
// that the same decision has brought about: a link may be slow, and the server may have
// announced its end by the time they are written.
func (n *Node) startExecution(now time.Time, ex *execution) {
	remaining := ex.ticket.Expires.Sub(now)
	timeout := remaining
	n.mu.Lock()
	isWithdrawn, isUnfunded := ex.canceled, ex.unfunded
	if ex.key.link != nil || n.stopping && !ex.ticket.Expires.Before(n.runsEnd()) {
		// The deadline may be that of a stopping node, not the client's: a late answer is
		// still wanted.
		timeout += lastRunsTime
	}
	n.mu.Unlock()
	// Nested endings could use up the stack.
	switch {
	case isWithdrawn:
		go n.endExecution(ex, &upstream.Answer{NotRun: true, Err: errWithdrawn})
		return
	case isUnfunded:
		go n.endExecution(ex, &upstream.Answer{NotRun: true, Err: errUnfunded})
		return
	}
	body := ex.body
	isCopied := body.Len() <= maxCopiedBody
	size := len(ex.offer.Head) + attemptFieldsReserve
	if isCopied {
		size += body.Len()
	}
	data := append(make([]byte, 0, size), ex.offer.Head...)
	data = n.codec.AppendAttemptFields(data, remaining, ex.server.ID, body.Len(), ex.offer.HasBody)
	if isCopied {
		data, body = body.AppendTo(data), nil
	}
	e := n.pool.Start(now, &upstream.Request{
		ID: ex.offer.Request, Raw: data, Body: body, Timeout: timeout, HeadOnly: ex.offer.HeadOnly, Instance: ex.server.ID,
	}, func(a *upstream.Answer) { n.endExecution(ex, a) })
	n.mu.Lock()
	ex.exchange = e
	canceled := ex.canceled
	n.mu.Unlock()
	if canceled {
		e.Cancel()
	}
}

// maxCopiedBody is the size up to which a body is copied behind its header, so that
// both are written at once.
const maxCopiedBody = 8 << 10

// attemptFieldsReserve is the buffer space, in bytes, for the header fields that
// AppendAttemptFields adds.
const attemptFieldsReserve = 128

// endExecution ends an execution, sends its answer and starts queued executions.
func (n *Node) endExecution(ex *execution, a *upstream.Answer) {
	now := time.Now()
	n.mu.Lock()
	n.runner.Done(now, &ex.ticket, a.Err == nil && !a.NotRun)
	n.placement.end(now, ex, a.Err == nil && !a.NotRun && !proof.New(a.Status).IsFailure())
	if n.runningByRequest[ex.offer.Request] == ex {
		delete(n.runningByRequest, ex.offer.Request)
	}
	n.recordNotice(now, ex, a)
	n.recordShedding(a)
	switch {
	case a.NotRun && !a.Sent:
		n.returnRepeat(now, ex)
	case a.NotRun:
		n.returnCalls(now, ex)
	}
	completed := reply{execution: ex, answer: n.answer(now, ex, a)}
	if completed.answer.Outcome == outcome.Complete {
		completed.body = a.Body
	} else {
		a.Body.Release()
	}
	n.stats.serviceTime.Add(now, now.Sub(ex.arrivedAt))
	replies := []reply{completed}
	delete(n.executions, ex.key)
	n.unsentAnswers.Add(1)
	if completed.answer.Outcome == outcome.Complete {
		recordLatency(n.runLatencies, ex.offer.Route, now.Sub(ex.arrivedAt))
	}
	n.recordExecutionEnd(now, ex, a)
	if isConnectionRefused(a.Err) {
		n.recordClosedPort(now, ex.server)
	}
	replies = n.applyReadiness(now, replies)
	runnable := n.dequeueRunnable(now)
	n.mu.Unlock()
	for _, queued := range runnable {
		n.startExecution(now, queued)
	}
	n.reply(replies...)
}

// isConnectionRefused reports whether the backend server's port has no listener.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// answer converts a backend server's response into the answer to an offer.
func (n *Node) answer(now time.Time, ex *execution, a *upstream.Answer) frame.Answer {
	out := frame.Answer{ID: ex.key.id, Sent: a.Sent, Status: a.Status}
	switch {
	case a.NotRun && a.Sent:
		out.Outcome, out.Reason = outcome.NotRun, outcome.Overload
	case errors.Is(a.Err, errUnfunded):
		out.Outcome, out.Reason = outcome.NotRun, outcome.Budget
	case a.NotRun:
		out.Outcome, out.Reason = outcome.NotRun, outcome.Unavailable
	case a.Err != nil:
		out.Outcome, out.Reason = outcome.Unknown, outcome.Broken
	default:
		out.Outcome, out.Head = outcome.Complete, a.Head
	}
	if out.Outcome != outcome.Complete && !ex.canceled {
		n.journal.WriteSampled(now, event.BackendRequestFailed, func() logrus.Fields {
			f := logrus.Fields{
				"request": ex.offer.Request, "age_ms": now.Sub(ex.arrivedAt).Milliseconds(), "outcome": out.Outcome.String(), "status": a.Status, "sent": a.Sent,
				"running": n.runner.Running(), "queued": n.runner.Queued(),
			}
			if a.Err != nil {
				f["detail"] = a.Err.Error()
			}
			return f
		})
	}
	n.setServerState(now, ex, &out)
	if out.Outcome == outcome.Complete && ex.key.id%fanoutReportInterval == 0 {
		out.HasFanout, out.Fanout = true, n.fanout(ex.offer.Route)
	}
	return out
}

// fanoutReportInterval is the number of offers per answer that reports the nested
// calls of its route. These calls seldom change.
const fanoutReportInterval = 16

// fanout returns the mean number of calls that an execution of a route causes to
// each service, directly and transitively.
func (n *Node) fanout(route message.Route) []frame.ServiceCalls {
	var all []frame.ServiceCalls
	add := func(service string, calls float32) {
		for i := range all {
			if all[i].Service == service {
				all[i].Calls += calls
				return
			}
		}
		all = append(all, frame.ServiceCalls{Service: service, Calls: calls})
	}
	n.callGraph.Calls(route, func(child message.Route, mean float64) {
		add(n.calledServices[child], float32(mean))
		for _, s := range n.fanouts[child] {
			add(s.Service, float32(mean)*s.Calls)
		}
	})
	return all
}

// setServerState fills in the load of the local backend server and the queue delay
// of the request, including that of its nested calls.
func (n *Node) setServerState(now time.Time, ex *execution, a *frame.Answer) {
	a.Load = n.runner.Load(now)
	a.Limit, a.Time = n.runner.Capacity(), n.runner.Time(now)
	a.Notice, a.Sheds = n.currentNotice(), n.shedRates(now)
	n.setOutlook(now, ex, a)
	a.QueueDelay, a.CallRefused = ex.ticket.QueueTime(now)+ex.queueDelay, ex.overloaded
}

// refuseOffer returns the answer to a refused offer.
func (n *Node) refuseOffer(now time.Time, ex *execution, reason outcome.Reason) reply {
	n.stats.offersRefused.Inc(1)
	if reason == outcome.Suspect {
		n.stats.suspectOffers.Inc(1)
	}
	n.unsentAnswers.Add(1)
	n.returnRepeat(now, ex)
	a := frame.Answer{ID: ex.key.id, Outcome: outcome.NotRun, Reason: reason}
	n.setServerState(now, ex, &a)
	n.journal.WriteSampled(now, event.OfferRefused, func() logrus.Fields {
		return logrus.Fields{
			"request": ex.offer.Request, "reason": reason.String(), "priority": ex.offer.Priority,
			"waited_ms": a.QueueDelay.Milliseconds(), "running": n.runner.Running(), "queued": n.runner.Queued(),
			"limit": n.runner.Limit(), "server": n.readiness.State().String(), "inner": ex.offer.Nested,
		}
	})
	return reply{execution: ex, answer: a}
}

// reply sends answers to the nodes that made the offers, and ends the use of their
// bodies.
func (n *Node) reply(replies ...reply) {
	for i := range replies {
		r := &replies[i]
		r.execution.body.Release()
		if l := r.execution.key.link; l == nil {
			n.handleAnswer(time.Now(), nil, &r.answer, r.body)
		} else {
			// If the link has closed, the sender has already ended its offers. It
			// does so if there is no memory for the answer either.
			if !peer.Send(l, frame.KindAnswer, &r.answer, r.body) {
				l.Close()
			}
			r.body.Release()
		}
		n.unsentAnswers.Add(-1)
	}
}
