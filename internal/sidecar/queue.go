package sidecar

import (
	"time"

	"github.com/papayapath/papayapath/pkg/outcome"
)

const (
	// expiryInterval is how often queued requests are checked for expiry.
	expiryInterval = 20 * time.Millisecond
	// maxCheckDelay is the delay of such a check from which the process counts as
	// paused. Withdrawals that arrived during the pause are unread then.
	maxCheckDelay = 200 * time.Millisecond
)

// dequeueRunnable removes the queued executions that can run now from the queue
// and returns them. After a pause of the process there are none until the next check
// of the queue, so that withdrawals which arrived meanwhile are read first. There are
// none shortly before a stopping node exits.
func (n *Node) dequeueRunnable(now time.Time) []*execution {
	if n.isResuming(now) || n.stopping && !now.Before(n.runsEnd()) {
		return nil
	}
	var runnable []*execution
	for {
		t := n.runner.Next(now)
		if t == nil {
			return runnable
		}
		n.recordStart(now, t.Value)
		runnable = append(runnable, t.Value)
	}
}

// isResuming reports whether the process was paused since the last check of the queue,
// or is in the interval that follows such a pause.
func (n *Node) isResuming(now time.Time) bool {
	if n.expiryScheduled && now.Sub(n.queueCheckedAt) > expiryInterval+maxCheckDelay {
		n.queueCheckedAt, n.resumedAt = now, now.Add(expiryInterval)
	}
	return now.Before(n.resumedAt)
}

// scheduleExpiry schedules an expiry check of the queue if none is scheduled.
func (n *Node) scheduleExpiry(now time.Time) {
	if !n.expiryScheduled {
		n.expiryScheduled, n.queueCheckedAt = true, now
		time.AfterFunc(expiryInterval, n.expireQueued)
	}
}

// expireQueued refuses the queued requests that cannot finish before their
// deadline, and starts those for which the server has become free.
func (n *Node) expireQueued() {
	now := time.Now()
	n.mu.Lock()
	var replies []reply
	for _, t := range n.runner.Expire(now, nil) {
		delete(n.executions, t.Value.key)
		replies = append(replies, n.refuseOffer(now, t.Value, outcome.Expired))
	}
	runnable := n.dequeueRunnable(now)
	n.expiryScheduled = false
	if n.runner.Queued() > 0 {
		n.scheduleExpiry(now)
	}
	n.mu.Unlock()
	for _, queued := range runnable {
		n.startExecution(now, queued)
	}
	n.reply(replies...)
}
