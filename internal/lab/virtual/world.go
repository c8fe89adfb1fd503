package virtual

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/papayapath/papayapath/internal/lab/checker"
	"github.com/papayapath/papayapath/internal/lab/deployment"
	"github.com/papayapath/papayapath/internal/lab/figures"
	"github.com/papayapath/papayapath/internal/lab/history"
	"github.com/papayapath/papayapath/internal/lab/timeline"
	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/declarations"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/node"
)

const (
	// domains is the number of failure domains of both deployments.
	domains = 3
	// poisonPath makes the content of a request that crashes servers differ
	// from that of all others.
	poisonPath = "/poison"
	// least and most bound the time of a message between two instances.
	least = time.Millisecond
	most  = 1500 * time.Microsecond
)

// panicContract is the text of the panic for contracts that can't be encoded.
const panicContract = "virtual: contract can't be encoded"

// epoch is when virtual time starts.
var epoch = time.Date(2026, time.January, 5, 8, 0, 0, 0, time.UTC)

// World is a deployment under virtual time. It is not safe for concurrent use.
type World struct {
	*timeline.Timeline
	deployment  *deployment.Deployment
	seed        uint64
	random      *rand.Rand
	incarnation uint64
	hosts       []*host
	log         *log
	history     *history.History
	clients     []*client
	reasons     map[string]int
	loaded      bool
	demand      float64
	hard        bool
	cut         map[[2]int]bool // pairs of failure domains without a connection
	turn        int
	records     int
	crashes     int
}

// New returns the deployment d at the start of virtual time, with its nodes
// running and its contracts published.
func New(d *deployment.Deployment, seed uint64) *World {
	w := &World{
		Timeline: timeline.New(epoch), deployment: d, seed: seed,
		random: rand.New(rand.NewPCG(seed, seed)),
		log:    newLog(), history: history.New(), reasons: make(map[string]int),
		demand: 1, cut: make(map[[2]int]bool), incarnation: 1000,
	}
	for i, s := range d.Placements() {
		h := &host{world: w, index: i, domain: i % domains, service: s}
		w.hosts = append(w.hosts, h)
		h.start()
	}
	for _, c := range d.Customers() {
		w.clients = append(w.clients, newClient(w, c))
	}
	w.Publish(d.Contracts()...)
	return w
}

// Deployment returns what runs in the world.
func (w *World) Deployment() *deployment.Deployment { return w.deployment }

// History returns what ran and what callers were told.
func (w *World) History() *history.History { return w.history }

// Verdict returns the counts that must be zero.
func (w *World) Verdict() checker.Verdict { return checker.New(w.history) }

// Reasons returns how often callers were told each outcome and reason.
func (w *World) Reasons() map[string]int { return w.reasons }

// Result returns the figures of an experiment with the given phases.
func (w *World) Result(p figures.PhaseTimes, limit int) figures.Result {
	return figures.New(figures.Parameters{
		Deployment: w.deployment.Name(), Variant: "papayapath", Seed: w.seed, Limit: limit,
	}, p, w.history)
}

// Publish appends contracts to the log, as an operator does.
func (w *World) Publish(contracts ...*contract.Contract) {
	change := &message.Change{Operator: "virtual", Base: w.hosts[0].node.Status(w.Now()).Version()}
	for _, c := range contracts {
		change.Contracts = append(change.Contracts, c.Document())
	}
	data, err := message.Encode(message.DeclarationRecord{Change: change})
	if err != nil {
		panic(panicContract)
	}
	w.records++
	w.log.append(node.Append{
		Stream: declarations.Stream, ID: fmt.Sprintf("publish-%d", w.records), Data: data,
	})
}

// Load starts or changes the load: demand is relative to the normal one, and
// hard makes clients resend almost at once.
func (w *World) Load(demand float64, hard bool) {
	started := w.loaded
	w.demand, w.hard, w.loaded = demand, hard, true
	if !started {
		for _, c := range w.clients {
			c.arrive()
		}
	}
}

// Quiet ends the load.
func (w *World) Quiet() { w.loaded = false }

// Poison sends one request of the first customer that crashes the servers
// which run it. It is sent again like any other.
func (w *World) Poison() {
	c := w.clients[0]
	class := c.customer.Classes[0]
	class.Path += poisonPath
	c.newRequest(class, true).send()
}

// Nodes returns the indices of the hosts of a service.
func (w *World) Nodes(service string) []int {
	var found []int
	for i, h := range w.hosts {
		if h.service.Name == service {
			found = append(found, i)
		}
	}
	return found
}

// View returns the node with an index.
func (w *World) View(i int) *node.Node { return w.hosts[i].node }

// Slow makes the runs of a service take factor times as long.
func (w *World) Slow(service string, factor float64) {
	for _, i := range w.Nodes(service) {
		w.hosts[i].server.slow = factor
	}
}

// Crash ends the instance with an index: node and backend server.
func (w *World) Crash(i int) { w.hosts[i].crash() }

// Start starts a crashed or stopped instance again.
func (w *World) Start(i int) { w.hosts[i].start() }

// CrashServer ends the backend server of an instance, which comes back.
func (w *World) CrashServer(i int) { w.hosts[i].server.crash() }

// Pause stops the process of a node for a time. Its backend server goes on.
func (w *World) Pause(i int, d time.Duration) { w.hosts[i].paused = w.Now().Add(d) }

// Drain makes the backend server of an instance leave.
func (w *World) Drain(i int) {
	h := w.hosts[i]
	h.server.draining = true
	h.do(h.node.Drain)
}

// Cut cuts or restores the connections between two failure domains.
func (w *World) Cut(a, b int, cut bool) {
	w.cut[[2]int{a, b}] = cut
	w.cut[[2]int{b, a}] = cut
}

// LogDown makes the log refuse everything, or work again.
func (w *World) LogDown(down bool) { w.log.down = down }

// LoseAnswers makes the answers to the next n appends get lost.
func (w *World) LoseAnswers(n int) { w.log.lose = n }

// Trim drops all but the newest records of a stream.
func (w *World) Trim(stream string, keep int) { w.log.trim(stream, keep) }

// ReplaceLog starts a new generation of the log without records.
func (w *World) ReplaceLog() { w.log.replace() }

func (w *World) latency() time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)))
}

// entry returns the next node that takes callers, or nil.
func (w *World) entry() *host {
	for range w.hosts {
		w.turn++
		if h := w.hosts[w.turn%len(w.hosts)]; h.up {
			return h
		}
	}
	return nil
}

// deliver brings a message from a host to the one at an address. If that is
// not there or can't be reached, lost is called once the sender can know.
func (w *World) deliver(from *host, address netip.AddrPort, arrive func(*host), lost func()) {
	index := int(address.Port()) - basePort
	if index < 0 || index >= len(w.hosts) {
		return
	}
	to := w.hosts[index]
	delay := w.latency()
	if to == from {
		delay = 0
	}
	life := from.id
	if !to.up || w.cut[[2]int{from.domain, to.domain}] {
		if lost != nil {
			w.After(dialTimeout, func() {
				if from.up && from.id == life {
					lost()
				}
			})
		}
		return
	}
	target := to.id
	w.After(delay, func() {
		if to.up && to.id == target {
			arrive(to)
		}
	})
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i) }
