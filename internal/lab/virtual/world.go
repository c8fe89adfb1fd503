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

// Simulation is a deployment under virtual time. It is not safe for concurrent use.
type Simulation struct {
	*timeline.Scheduler
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
func New(d *deployment.Deployment, seed uint64) *Simulation {
	w := &Simulation{
		Scheduler: timeline.New(epoch), deployment: d, seed: seed,
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
	w.PublishContracts(d.Contracts()...)
	return w
}

// Deployment returns what runs in the world.
func (w *Simulation) Deployment() *deployment.Deployment { return w.deployment }

// History returns what ran and what callers were told.
func (w *Simulation) History() *history.History { return w.history }

// Verdict returns the counts that must be zero.
func (w *Simulation) Verdict() checker.Verdict { return checker.New(w.history) }

// OutcomeCounts returns how often callers were told each outcome and reason.
func (w *Simulation) OutcomeCounts() map[string]int { return w.reasons }

// Result returns the figures of an experiment with the given phases.
func (w *Simulation) Result(p figures.PhaseTimes, limit int) figures.Result {
	return figures.New(figures.Parameters{
		Deployment: w.deployment.Name(), Variant: "papayapath", Seed: w.seed, Limit: limit,
	}, p, w.history)
}

// PublishContracts appends contracts to the log, as an operator does.
func (w *Simulation) PublishContracts(contracts ...*contract.Contract) {
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

// SetLoad starts or changes the load: demand is relative to the normal one, and
// hard makes clients resend almost at once.
func (w *Simulation) SetLoad(demand float64, hard bool) {
	started := w.loaded
	w.demand, w.hard, w.loaded = demand, hard, true
	if !started {
		for _, c := range w.clients {
			c.arrive()
		}
	}
}

// StopLoad ends the load.
func (w *Simulation) StopLoad() { w.loaded = false }

// SendPoisonRequest sends one request of the first customer that crashes the servers
// which run it. It is sent again like any other.
func (w *Simulation) SendPoisonRequest() {
	c := w.clients[0]
	class := c.customer.Classes[0]
	class.Path += poisonPath
	c.newRequest(class, true).send()
}

// HostIndices returns the indices of the hosts of a service.
func (w *Simulation) HostIndices(service string) []int {
	var found []int
	for i, h := range w.hosts {
		if h.service.Name == service {
			found = append(found, i)
		}
	}
	return found
}

// NodeAt returns the node with an index.
func (w *Simulation) NodeAt(i int) *node.Node { return w.hosts[i].node }

// SetSlowdown makes the runs of a service take factor times as long.
func (w *Simulation) SetSlowdown(service string, factor float64) {
	for _, i := range w.HostIndices(service) {
		w.hosts[i].server.slow = factor
	}
}

// CrashInstance ends the instance with an index: node and backend server.
func (w *Simulation) CrashInstance(i int) { w.hosts[i].crash() }

// StartInstance starts a crashed or stopped instance again.
func (w *Simulation) StartInstance(i int) { w.hosts[i].start() }

// CrashServer ends the backend server of an instance, which comes back.
func (w *Simulation) CrashServer(i int) { w.hosts[i].server.crash() }

// PauseNode stops the process of a node for a time. Its backend server goes on.
func (w *Simulation) PauseNode(i int, d time.Duration) { w.hosts[i].paused = w.Now().Add(d) }

// Drain makes the backend server of an instance leave.
func (w *Simulation) Drain(i int) {
	h := w.hosts[i]
	h.server.draining = true
	h.do(h.node.Drain)
}

// SetPartitioned cuts or restores the connections between two failure domains.
func (w *Simulation) SetPartitioned(a, b int, cut bool) {
	w.cut[[2]int{a, b}] = cut
	w.cut[[2]int{b, a}] = cut
}

// SetLogDown makes the log refuse everything, or work again.
func (w *Simulation) SetLogDown(down bool) { w.log.down = down }

// LoseAppendReplies makes the answers to the next n appends get lost.
func (w *Simulation) LoseAppendReplies(n int) { w.log.lose = n }

// TrimStream drops all but the newest records of a stream.
func (w *Simulation) TrimStream(stream string, keep int) { w.log.trim(stream, keep) }

// ReplaceLog starts a new generation of the log without records.
func (w *Simulation) ReplaceLog() { w.log.replace() }

func (w *Simulation) latency() time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)))
}

// entry returns the next node that takes callers, or nil.
func (w *Simulation) entry() *host {
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
func (w *Simulation) deliver(from *host, address netip.AddrPort, arrive func(*host), lost func()) {
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
			w.AfterFunc(dialTimeout, func() {
				if from.up && from.id == life {
					lost()
				}
			})
		}
		return
	}
	target := to.id
	w.AfterFunc(delay, func() {
		if to.up && to.id == target {
			arrive(to)
		}
	})
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i) }
