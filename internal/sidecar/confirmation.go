package sidecar

import (
	"time"

	"github.com/papayapath/papayapath/internal/peer"
	"github.com/papayapath/papayapath/pkg/frame"
)

// maxUnconfirmedDelay is the delay on its link from which an offer is confirmed: its
// sender may have withdrawn it meanwhile, and the withdrawal is delayed as well. It
// is half of the time within which work for a client that has left should end.
const maxUnconfirmedDelay = 250 * time.Millisecond

// maxHeldOffers bounds the offers of a link that wait for its other end. At the target,
// 320 calls a second arrive at a node from all others together.
const maxHeldOffers = 2048

// confirmation holds the offers of a link until their sender has answered a ping. By
// then, all that the sender had sent before its answer has been read, withdrawals
// included.
type confirmation struct {
	held    []*execution
	askedAt time.Time
}

// canHold reports whether a further offer of a link can be held.
func (n *Node) canHold(l *peer.Link) bool {
	c := n.confirmations[l]
	return c == nil || len(c.held) < maxHeldOffers
}

// holdOffer holds an offer of a link until its sender has confirmed it. It reports
// whether the sender has to be asked. The caller must hold n.mu.
func (n *Node) holdOffer(now time.Time, ex *execution) (mustAsk bool) {
	n.executions[ex.key] = ex
	c := n.confirmations[ex.key.link]
	if c == nil {
		c = &confirmation{askedAt: now}
		n.confirmations[ex.key.link] = c
		mustAsk = true
	}
	c.held = append(c.held, ex)
	return mustAsk
}

// requestPong asks another node for a pong.
func requestPong(l *peer.Link) {
	if !peer.Send(l, frame.KindPing, frame.Ping{}, nil) {
		l.Close()
	}
}

// handlePong places the offers that a pong confirms. A pong that took long may itself
// have been overtaken by withdrawals, so its sender is asked again.
func (n *Node) handlePong(now time.Time, l *peer.Link) {
	n.mu.Lock()
	c := n.confirmations[l]
	if c == nil {
		n.mu.Unlock()
		return
	}
	if now.Sub(c.askedAt) > maxUnconfirmedDelay {
		c.askedAt = now
		n.mu.Unlock()
		requestPong(l)
		return
	}
	delete(n.confirmations, l)
	var replies []reply
	var started []*execution
	for _, ex := range c.held {
		if ex.canceled {
			continue
		}
		delete(n.executions, ex.key)
		r, isStarted := n.placeOffer(now, ex)
		replies = append(replies, r...)
		if isStarted {
			started = append(started, ex)
		}
	}
	n.mu.Unlock()
	for _, ex := range started {
		n.startExecution(now, ex)
	}
	n.reply(replies...)
}
