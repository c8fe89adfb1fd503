package virtual

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/papayapath/papayapath/internal/lab/deployment"
	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/dispatcher"
	"github.com/papayapath/papayapath/pkg/guard"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/node"
)

const (
	// tickInterval, followInterval and heartbeat match those of the
	// production adapters.
	tickInterval      = 10 * time.Millisecond
	followInterval    = 50 * time.Millisecond
	heartbeatInterval = 200 * time.Millisecond
	// dialTimeout is the time after which a node considers another unreachable.
	dialTimeout = 500 * time.Millisecond
	// basePort is the port of the first node.
	basePort = 10_000
)

// host is an instance with a node and a backend server.
type host struct {
	simulation *Simulation
	index      int
	domain     int
	id         instance.ID
	node       *node.Node
	server     *server
	service    deployment.Service

	up            bool
	pausedUntil   time.Time // the node's process is paused until then
	pendingCalls  map[message.CallID]func(*message.Answer)
	pendingOffers map[attempt]instance.ID // unanswered attempts and the nodes they were sent to
}

// attempt identifies one attempt of a call.
type attempt struct {
	call   message.CallID
	number int
}

// start starts a new incarnation of the host's node.
func (h *host) start() {
	sim := h.simulation
	sim.incarnation++
	address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(basePort+h.index))
	h.id = instance.New(address, sim.incarnation)
	h.node = node.New(h.id,
		node.WithPlace("virtual", domainName(h.domain)),
		node.WithRandom(rand.New(rand.NewPCG(sim.seed, sim.incarnation))))
	h.up = true
	h.pendingCalls = make(map[message.CallID]func(*message.Answer))
	h.pendingOffers = make(map[attempt]instance.ID)
	h.server = newServer(h)
	current := h.id
	h.repeat(current, tickInterval, h.node.Tick)
	h.repeat(current, heartbeatInterval, h.announce)
	for _, name := range node.Streams() {
		h.repeat(current, followInterval, func(now time.Time, out *node.Output) { h.follow(now, name, out) })
	}
}

// repeat runs a decision at an interval while the given incarnation is alive.
func (h *host) repeat(incarnation instance.ID, interval time.Duration, decide func(time.Time, *node.Output)) {
	var tick func()
	tick = func() {
		if h.up && h.id == incarnation {
			h.runDecision(decide)
			h.simulation.AfterFunc(interval, tick)
		}
	}
	// A random initial delay avoids synchronized timers across nodes.
	h.simulation.AfterFunc(time.Duration(h.simulation.random.Int64N(int64(interval))), tick)
}

// runDecision runs a decision of the node and executes its output. If the
// process is paused, it does so at the end of the pause.
func (h *host) runDecision(decide func(now time.Time, out *node.Output)) {
	sim := h.simulation
	if wait := h.pausedUntil.Sub(sim.Now()); wait > 0 {
		incarnation := h.id
		sim.AfterFunc(wait, func() {
			if h.up && h.id == incarnation {
				h.runDecision(decide)
			}
		})
		return
	}
	var out node.Output
	decide(sim.Now(), &out)
	h.execute(&out)
}

// crash terminates the node and its backend server.
func (h *host) crash() {
	h.up = false
	h.server.crash()
	for _, other := range h.simulation.hosts {
		other.connectionLost(h.id)
	}
}

// connectionLost notifies the node that its pending attempts at another node were
// interrupted.
func (h *host) connectionLost(id instance.ID) {
	for a, to := range h.pendingOffers {
		if to == id {
			h.simulation.AfterFunc(h.simulation.messageDelay(), func() { h.attemptLost(a, to, true) })
		}
	}
}

func (h *host) attemptLost(a attempt, to instance.ID, sent bool) {
	if _, ok := h.pendingOffers[a]; !ok || !h.up {
		return
	}
	delete(h.pendingOffers, a)
	h.runDecision(func(now time.Time, out *node.Output) { h.node.Lost(now, to, a.call, a.number, sent, out) })
}

func (h *host) announce(now time.Time, out *node.Output) {
	if h.server.up && !h.server.draining {
		_ = h.node.Announce(now, h.service.Name, h.server.address(), h.service.Slots, out)
	}
}

func (h *host) follow(now time.Time, name string, out *node.Output) {
	from := h.node.From(name)
	if batch, err := h.simulation.log.read(name, from); err == nil {
		h.node.Follow(now, name, from, batch, out)
	}
}

// execute executes the output of the node.
func (h *host) execute(out *node.Output) {
	sim := h.simulation
	for _, a := range out.Actions {
		h.executeAction(a)
	}
	for _, s := range out.Sends {
		from := h.id
		sim.deliver(h, s.To.Address(), func(to *host) {
			to.runDecision(func(now time.Time, out *node.Output) { to.node.Receive(now, from, s.Control, out) })
		}, nil)
	}
	for _, a := range out.Appends {
		sim.AfterFunc(sim.messageDelay(), func() {
			result := sim.log.append(a)
			sim.AfterFunc(sim.messageDelay(), func() { h.appended(a, result) })
		})
	}
	for _, r := range out.Reads {
		h.read(r)
	}
}

func (h *host) appended(a node.Append, result guard.Result) {
	if !h.up {
		return
	}
	h.runDecision(func(now time.Time, _ *node.Output) { h.node.Appended(now, a, result) })
}

func (h *host) read(r node.Read) {
	sim := h.simulation
	started := sim.Now()
	sim.AfterFunc(sim.messageDelay(), func() {
		batch, err := sim.log.read(r.Stream, r.From)
		sim.AfterFunc(sim.messageDelay(), func() {
			if !h.up {
				return
			}
			h.runDecision(func(now time.Time, out *node.Output) {
				if err != nil {
					h.node.ReadFailed(now)
					return
				}
				h.node.Batch(now, started, r.From, batch, out)
			})
		})
	})
}

// executeAction executes one action of a call.
func (h *host) executeAction(a action.Action) {
	switch a.Kind {
	case action.Offer:
		h.offer(a.To, *a.Offer)
	case action.Answer:
		h.answer(a.To, *a.Answer)
	case action.Cancel:
		h.cancel(a)
	case action.Run:
		h.server.accept(a.Offer)
	case action.Abort:
		h.server.abort(attempt{a.Cancel.Call, a.Cancel.Attempt})
	case action.Finish:
		answer := *a.Answer
		if done, ok := h.pendingCalls[answer.Call]; ok {
			delete(h.pendingCalls, answer.Call)
			done(&answer)
		}
	}
}

func (h *host) offer(to instance.ID, o message.Offer) {
	id, from := attempt{o.Call, o.Attempt}, h.id
	h.pendingOffers[id] = to
	h.simulation.deliver(h, to.Address(), func(target *host) {
		target.runDecision(func(now time.Time, out *node.Output) { target.node.Offer(now, from, &o, out) })
	}, func() { h.attemptLost(id, to, false) })
}

func (h *host) answer(to instance.ID, a message.Answer) {
	from := h.id
	h.simulation.deliver(h, to.Address(), func(target *host) {
		if target.id != to {
			return
		}
		delete(target.pendingOffers, attempt{a.Call, a.Attempt})
		target.runDecision(func(now time.Time, out *node.Output) { target.node.Answer(now, from, &a, out) })
	}, nil)
}

func (h *host) cancel(a action.Action) {
	from := h.id
	delete(h.pendingOffers, attempt{a.Cancel.Call, a.Cancel.Attempt})
	h.simulation.deliver(h, a.To.Address(), func(target *host) {
		target.runDecision(func(now time.Time, out *node.Output) { target.node.Withdrawn(now, from, a.Cancel, out) })
	}, nil)
}

// call submits a call to the node. done receives the final answer.
func (h *host) call(r *dispatcher.Request, parent message.CallID, done func(*message.Answer)) {
	h.runDecision(func(now time.Time, out *node.Output) {
		if !h.node.Ready() {
			done(node.Unready(r))
			return
		}
		if r.Origin == dispatcher.Backend {
			r.Parent, _ = h.node.Parent(parent)
		}
		id := h.node.Arrive(now, r, out)
		h.pendingCalls[id] = done
	})
}
