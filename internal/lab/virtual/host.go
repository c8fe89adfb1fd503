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
	// tickInterval, followInterval and heartbeat are those of the real
	// adapters.
	tickInterval   = 10 * time.Millisecond
	followInterval = 50 * time.Millisecond
	heartbeat      = 200 * time.Millisecond
	// dialTimeout is when a node learns that another can't be reached.
	dialTimeout = 500 * time.Millisecond
	// basePort is the port of the first node.
	basePort = 10_000
)

// host is an instance with a node and a backend server.
type host struct {
	world   *Simulation
	index   int
	domain  int
	id      instance.ID
	node    *node.Node
	server  *server
	service deployment.Service

	up     bool
	paused time.Time // end of a pause of the node's process
	calls  map[message.CallID]func(*message.Answer)
	offers map[attempt]instance.ID // attempts that were sent and not answered
}

// attempt names one attempt of a call.
type attempt struct {
	call   message.CallID
	number int
}

// start runs a new incarnation of the host's node.
func (h *host) start() {
	w := h.world
	w.incarnation++
	address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(basePort+h.index))
	h.id = instance.New(address, w.incarnation)
	h.node = node.New(h.id,
		node.WithPlace("virtual", domainName(h.domain)),
		node.WithRandom(rand.New(rand.NewPCG(w.seed, w.incarnation))))
	h.up = true
	h.calls = make(map[message.CallID]func(*message.Answer))
	h.offers = make(map[attempt]instance.ID)
	h.server = newServer(h)
	life := h.id
	h.every(life, tickInterval, h.node.Tick)
	h.every(life, heartbeat, h.announce)
	for _, name := range node.Streams() {
		h.every(life, followInterval, func(now time.Time, out *node.Output) { h.follow(now, name, out) })
	}
}

// every repeats a decision for as long as the incarnation life runs.
func (h *host) every(life instance.ID, interval time.Duration, decide func(time.Time, *node.Output)) {
	var again func()
	again = func() {
		if h.up && h.id == life {
			h.do(decide)
			h.world.AfterFunc(interval, again)
		}
	}
	// A random start keeps the timers of all nodes from firing together.
	h.world.AfterFunc(time.Duration(h.world.random.Int64N(int64(interval))), again)
}

// do makes a decision, once the process is not paused, and carries out what
// follows from it.
func (h *host) do(decide func(now time.Time, out *node.Output)) {
	w := h.world
	if wait := h.paused.Sub(w.Now()); wait > 0 {
		life := h.id
		w.AfterFunc(wait, func() {
			if h.up && h.id == life {
				h.do(decide)
			}
		})
		return
	}
	var out node.Output
	decide(w.Now(), &out)
	h.perform(&out)
}

// crash ends the node and its backend server at once.
func (h *host) crash() {
	h.up = false
	h.server.crash()
	for _, other := range h.world.hosts {
		other.connectionLost(h.id)
	}
}

// connectionLost reports to the node that its exchanges with another broke.
func (h *host) connectionLost(id instance.ID) {
	for a, to := range h.offers {
		if to == id {
			h.world.AfterFunc(h.world.latency(), func() { h.lost(a, to, true) })
		}
	}
}

func (h *host) lost(a attempt, to instance.ID, sent bool) {
	if _, ok := h.offers[a]; !ok || !h.up {
		return
	}
	delete(h.offers, a)
	h.do(func(now time.Time, out *node.Output) { h.node.Lost(now, to, a.call, a.number, sent, out) })
}

func (h *host) announce(now time.Time, out *node.Output) {
	if h.server.up && !h.server.draining {
		_ = h.node.Announce(now, h.service.Name, h.server.address(), h.service.Slots, out)
	}
}

func (h *host) follow(now time.Time, name string, out *node.Output) {
	from := h.node.From(name)
	if batch, err := h.world.log.read(name, from); err == nil {
		h.node.Follow(now, name, from, batch, out)
	}
}

// perform carries out what the node asks for.
func (h *host) perform(out *node.Output) {
	w := h.world
	for _, a := range out.Actions {
		h.act(a)
	}
	for _, s := range out.Sends {
		from := h.id
		w.deliver(h, s.To.Address(), func(to *host) {
			to.do(func(now time.Time, out *node.Output) { to.node.Receive(now, from, s.Control, out) })
		}, nil)
	}
	for _, a := range out.Appends {
		w.AfterFunc(w.latency(), func() {
			result := w.log.append(a)
			w.AfterFunc(w.latency(), func() { h.appended(a, result) })
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
	h.do(func(now time.Time, _ *node.Output) { h.node.Appended(now, a, result) })
}

func (h *host) read(r node.Read) {
	w := h.world
	started := w.Now()
	w.AfterFunc(w.latency(), func() {
		batch, err := w.log.read(r.Stream, r.From)
		w.AfterFunc(w.latency(), func() {
			if !h.up {
				return
			}
			h.do(func(now time.Time, out *node.Output) {
				if err != nil {
					h.node.ReadFailed(now)
					return
				}
				h.node.Batch(now, started, r.From, batch, out)
			})
		})
	})
}

// act carries out one action of a call.
func (h *host) act(a action.Action) {
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
		if done, ok := h.calls[answer.Call]; ok {
			delete(h.calls, answer.Call)
			done(&answer)
		}
	}
}

func (h *host) offer(to instance.ID, o message.Offer) {
	id, from := attempt{o.Call, o.Attempt}, h.id
	h.offers[id] = to
	h.world.deliver(h, to.Address(), func(target *host) {
		target.do(func(now time.Time, out *node.Output) { target.node.Offer(now, from, &o, out) })
	}, func() { h.lost(id, to, false) })
}

func (h *host) answer(to instance.ID, a message.Answer) {
	from := h.id
	h.world.deliver(h, to.Address(), func(target *host) {
		if target.id != to {
			return
		}
		delete(target.offers, attempt{a.Call, a.Attempt})
		target.do(func(now time.Time, out *node.Output) { target.node.Answer(now, from, &a, out) })
	}, nil)
}

func (h *host) cancel(a action.Action) {
	from := h.id
	delete(h.offers, attempt{a.Cancel.Call, a.Cancel.Attempt})
	h.world.deliver(h, a.To.Address(), func(target *host) {
		target.do(func(now time.Time, out *node.Output) { target.node.Withdrawn(now, from, a.Cancel, out) })
	}, nil)
}

// call makes a call at the node and calls done with its end.
func (h *host) call(r *dispatcher.Request, parent message.CallID, done func(*message.Answer)) {
	h.do(func(now time.Time, out *node.Output) {
		if !h.node.Ready() {
			done(node.Unready(r))
			return
		}
		if r.Origin == dispatcher.Backend {
			r.Parent, _ = h.node.Parent(parent)
		}
		id := h.node.Arrive(now, r, out)
		h.calls[id] = done
	})
}
