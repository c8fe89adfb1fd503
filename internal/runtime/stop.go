package runtime

import (
	"context"
	"time"

	"github.com/papayapath/papayapath/pkg/node"
)

const (
	// drainPoll is how often a stopping node looks whether its calls have ended.
	drainPoll = 10 * time.Millisecond
	// leaveGrace is the time for the news of the departure to be sent.
	leaveGrace = 200 * time.Millisecond
)

// Stop stops the node without cutting calls: it refuses new work, finishes
// and answers what runs, tells the others that it leaves, and closes. Calls
// that have not ended when ctx ends are cut: a caller's connection closes
// without an answer, and for another node the call is unknown. Stop then returns
// a *CutError.
func (r *Runtime) Stop(ctx context.Context) error {
	r.Drain()
	err := r.callers.Close(ctx)
	if !r.awaitDrained(ctx) || err != nil {
		err = &CutError{open: r.unfinished()}
	}
	r.do(r.node.Leave)
	r.awaitSent()
	r.stop(ctx)
	return err
}

// awaitDrained waits until no call is open and other nodes have read the
// answers to theirs, or until ctx ends.
func (r *Runtime) awaitDrained(ctx context.Context) bool {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		drained := false
		r.View(func(n *node.Node) { drained = n.Drained() && len(r.inbound) == 0 })
		if drained && r.link.Settled() {
			return true
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
}

// awaitSent gives the last control messages time to be sent.
func (r *Runtime) awaitSent() {
	timer := time.NewTimer(leaveGrace)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.ctx.Done():
	}
}

// stop closes everything that is open.
func (r *Runtime) stop(ctx context.Context) {
	r.cancel()
	if r.egress != nil {
		_ = r.egress.Close(ctx)
	}
	if r.link != nil {
		r.link.Close()
	}
	r.tasks.Wait()
	if c := r.backend.Load(); c != nil {
		c.Close()
	}
	if r.log != nil {
		r.log.Close()
	}
	_ = r.tracer.Close(ctx)
}

// Kill stops the node at once, as a crash would: nothing is finished and
// nobody is told.
func (r *Runtime) Kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r.cancel()
	if r.callers != nil {
		_ = r.callers.Close(ctx)
	}
	r.stop(ctx)
}

// unfinished returns the number of calls that have not ended. A call that is
// made and run at this node counts once.
func (r *Runtime) unfinished() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.calls)
	for id := range r.inbound {
		if id.call.Node != r.self {
			n++
		}
	}
	return n
}
