package runtime

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/papayapath/papayapath/internal/backend"
	"github.com/papayapath/papayapath/internal/exchange"
	"github.com/papayapath/papayapath/internal/gateway"
	"github.com/papayapath/papayapath/internal/link"
	"github.com/papayapath/papayapath/internal/platform"
	"github.com/papayapath/papayapath/internal/settings"
	"github.com/papayapath/papayapath/internal/trace"
	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/node"
)

const (
	// tickInterval is how often the decisions that depend on time are made.
	tickInterval = 10 * time.Millisecond
	// sendQueue bounds the control messages that wait to be sent. Control
	// messages are repeated, so those that find the queue full are dropped.
	sendQueue = 4096
	// senders is the number of workers that send control messages.
	senders = 16
)

// Runtime is one running node.
//
// Lock order: mu guards the node and the tables of calls. It is held for one
// decision and for the entries in the tables that follow from it, never while
// something is sent or waited for. No other lock is taken under it but those
// of an exchange.
type Runtime struct {
	settings settings.Settings
	self     instance.ID
	notify   func(node.Event)

	link    *link.Link
	callers *gateway.Gateway
	egress  *gateway.Gateway
	log     *platform.Client
	tracer  *trace.Tracer
	backend atomic.Pointer[backendClient]
	opened  chan struct{} // closed when all sockets are open
	sends   chan message.Send
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   conc.WaitGroup
	outputs sync.Pool

	mu      sync.Mutex
	node    *node.Node
	calls   map[message.CallID]*outbound
	inbound map[attemptID]*inbound
}

// backendClient is the client of the backend server at one address.
type backendClient struct {
	*backend.Backend
	address string
}

// attemptID names one attempt of a call.
type attemptID struct {
	call    message.CallID
	attempt int
}

// outbound is a call that was made at this node.
type outbound struct {
	exchange *exchange.Exchange
	cancel   context.CancelFunc // ends the exchange with the asked node, if any
}

// Option sets an optional part of a runtime.
type Option func(*Runtime)

// WithTracer sets where spans go.
func WithTracer(t *trace.Tracer) Option { return func(r *Runtime) { r.tracer = t } }

// WithNotify sets a function that is called with each event of the node.
func WithNotify(f func(node.Event)) Option { return func(r *Runtime) { r.notify = f } }

// Start starts a node with the given settings and TLS configuration. It
// returns an error of the settings, gateway, link or platform packages if an
// address can't be used.
func Start(s settings.Settings, config *tls.Config, options ...Option) (*Runtime, error) {
	socket, address, err := link.Listen(s.Peers)
	if err != nil {
		return nil, err
	}
	r := &Runtime{
		settings: s,
		self:     instance.New(address, uint64(time.Now().UnixMilli())),
		tracer:   trace.New("", nil),
		notify:   func(node.Event) {},
		opened:   make(chan struct{}),
		sends:    make(chan message.Send, sendQueue),
		calls:    make(map[message.CallID]*outbound),
		inbound:  make(map[attemptID]*inbound),
	}
	r.outputs.New = func() any { return new(node.Output) }
	for _, o := range options {
		o(r)
	}
	r.node = node.New(r.self, node.WithPlace(s.Region, s.Domain), node.WithRandom(newRandom(r.self)))
	r.ctx, r.cancel = context.WithCancel(context.Background())
	if err := r.open(socket, config); err != nil {
		r.stop(r.ctx)
		return nil, err
	}
	r.run()
	return r, nil
}

// open opens the sockets.
func (r *Runtime) open(socket *net.UDPConn, config *tls.Config) error {
	var err error
	if r.link, err = link.Open(r.self, socket, config, r); err != nil {
		return err
	}
	if r.log, err = platform.New(r.settings.Log); err != nil {
		return err
	}
	if r.egress, err = gateway.Listen(r.settings.Backend, r, gateway.ForBackend(), r.announceRoute(), r.drainRoute()); err != nil {
		return err
	}
	if r.callers, err = gateway.Listen(r.settings.Callers, r); err != nil {
		return err
	}
	close(r.opened)
	return nil
}

// isOpen waits until all sockets are open, since requests may come to the
// first one before the last one is there. It returns false if the node stops.
func (r *Runtime) isOpen() bool {
	select {
	case <-r.opened:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// run starts the goroutines that live as long as the node.
func (r *Runtime) run() {
	r.tasks.Go(r.tick)
	for range senders {
		r.tasks.Go(r.send)
	}
	for _, name := range node.Streams() {
		r.tasks.Go(func() { r.follow(name) })
	}
}

// Self returns the ID of the node.
func (r *Runtime) Self() instance.ID { return r.self }

// Callers returns the address on which the node serves callers.
func (r *Runtime) Callers() string { return r.callers.Address() }

// Egress returns the address on which the node serves its backend server.
func (r *Runtime) Egress() string { return r.egress.Address() }

// View calls f with the node while no decision is made.
func (r *Runtime) View(f func(*node.Node)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.node)
}

// do makes a decision and carries out what follows from it.
func (r *Runtime) do(decide func(now time.Time, out *node.Output)) {
	out := r.outputs.Get().(*node.Output)
	r.mu.Lock()
	now := time.Now()
	decide(now, out)
	tasks := r.enter(now, out.Actions)
	r.mu.Unlock()
	for _, t := range tasks {
		t()
	}
	r.emit(out)
	out.Reset()
	r.outputs.Put(out)
}

// enter notes actions in the tables of calls and returns what is to be done
// once the lock is free. Entering them under the lock keeps a cancellation
// from overtaking the start that it is meant for.
func (r *Runtime) enter(now time.Time, actions []action.Action) []func() {
	var tasks []func()
	for _, a := range actions {
		if t := r.enterOne(now, a); t != nil {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

func (r *Runtime) enterOne(now time.Time, a action.Action) func() {
	switch a.Kind {
	case action.Offer:
		return r.enterOffer(a)
	case action.Cancel:
		r.cancelOffer(a.Cancel.Call)
	case action.Finish:
		return r.enterFinish(a)
	case action.Run:
		r.command(a.Offer.Call, a.Offer.Attempt, command{run: a.Offer, deadline: now.Add(a.Offer.Remaining)})
	case action.Answer:
		answer := *a.Answer
		r.command(answer.Call, answer.Attempt, command{answer: &answer, body: a.Body})
		r.node.Recycle(a.Answer)
	case action.Abort:
		r.abort(a.Cancel)
	}
	return nil
}

// emit carries out everything but the actions of calls.
func (r *Runtime) emit(out *node.Output) {
	for _, s := range out.Sends {
		select {
		case r.sends <- s:
		default:
		}
	}
	for _, a := range out.Appends {
		r.tasks.Go(func() { r.append(a) })
	}
	for _, read := range out.Reads {
		r.tasks.Go(func() { r.read(read) })
	}
	for _, id := range out.Dropped {
		r.link.Drop(id)
	}
	for _, e := range out.Events {
		r.notify(e)
	}
}

func (r *Runtime) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.do(r.node.Tick)
		case <-r.ctx.Done():
			return
		}
	}
}
