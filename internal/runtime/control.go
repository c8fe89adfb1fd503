package runtime

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/papayapath/papayapath/internal/platform"
	"github.com/papayapath/papayapath/pkg/guard"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/node"
)

const (
	// sendTimeout bounds the sending of a control message.
	sendTimeout = 500 * time.Millisecond
	// followWait is how long the log holds the answer to a read of a stream
	// that has nothing new.
	followWait = 2 * time.Second
	// readTimeout bounds the reads by which a lease is renewed. A slower log
	// counts as down.
	readTimeout = 800 * time.Millisecond
	// appendTimeout bounds one append.
	appendTimeout = 2 * time.Second
	// retryPause is the mean pause after a failure of the log.
	retryPause = 200 * time.Millisecond
	// batchSize is the number of records of one read.
	batchSize = 1000
)

// Control takes a control message of another node.
func (r *Runtime) Control(from instance.ID, m *message.Control) {
	if r.isOpen() {
		r.do(func(now time.Time, out *node.Output) { r.node.Receive(now, from, *m, out) })
	}
}

// send sends control messages. A message that can't be sent is lost; the
// failure detector and the digests make up for it.
func (r *Runtime) send() {
	for {
		select {
		case s := <-r.sends:
			ctx, cancel := context.WithTimeout(r.ctx, sendTimeout)
			_ = r.link.Control(ctx, s.To, &s.Control)
			cancel()
		case <-r.ctx.Done():
			return
		}
	}
}

// follow reads a stream for as long as the node runs.
func (r *Runtime) follow(name string) {
	for r.ctx.Err() == nil {
		var from int64
		r.View(func(n *node.Node) { from = n.From(name) })
		ctx, cancel := context.WithTimeout(r.ctx, followWait+readTimeout)
		batch, err := r.log.Read(ctx, name, from, batchSize, followWait)
		cancel()
		if err != nil {
			r.pause()
			continue
		}
		r.do(func(now time.Time, out *node.Output) { r.node.Follow(now, name, from, batch, out) })
	}
}

// read carries out a read that the node asked for.
func (r *Runtime) read(q node.Read) {
	ctx, cancel := context.WithTimeout(r.ctx, readTimeout)
	defer cancel()
	started := time.Now()
	batch, err := r.log.Read(ctx, q.Stream, q.From, batchSize, 0)
	r.do(func(now time.Time, out *node.Output) {
		if err != nil {
			r.node.ReadFailed(now)
			return
		}
		r.node.Batch(now, started, q.From, batch, out)
	})
}

// append carries out an append. Records of owners are sent once, since the
// node decides when to send them again; others are harmless when they stand
// twice and are sent until the log has them.
func (r *Runtime) append(a node.Append) {
	for {
		ctx, cancel := context.WithTimeout(r.ctx, appendTimeout)
		_, err := r.log.Append(ctx, a.Stream, a.ID, a.Data)
		cancel()
		r.do(func(now time.Time, _ *node.Output) { r.node.Appended(now, a, result(err)) })
		if err == nil || a.Stream == node.OwnersStream || r.ctx.Err() != nil {
			return
		}
		r.pause()
	}
}

func result(err error) guard.Result {
	var unavailable *platform.UnavailableError
	var refused *platform.RefusedError
	switch {
	case err == nil:
		return guard.Appended
	case errors.As(err, &unavailable), errors.As(err, &refused):
		return guard.Failed
	default:
		return guard.InDoubt
	}
}

// pause waits after a failure of the log. The random part keeps nodes from
// coming back all at once.
func (r *Runtime) pause() {
	timer := time.NewTimer(retryPause/2 + rand.N(retryPause))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.ctx.Done():
	}
}

func newRandom(self instance.ID) *rand.Rand {
	return rand.New(rand.NewPCG(self.Incarnation(), uint64(self.Address().Port())))
}
